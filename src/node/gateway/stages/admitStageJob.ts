import { stageConstants } from './constants.js'
import type { StageJob } from './stageJob.js'
import type { StageService } from './stageService.js'

import type { StageAdmission } from './stageAdmission.js'

/**
 * Decides whether the stages of a job may start, from the queues and the measured call times of the services.
 * The load it answers: crests of one to three times the mean for some seconds, at which the stage services are the
 * bottleneck. Work that can be on time is taken; work that can't is taken only into capacity that is spare.
 */
export function admitStageJob (
  job: StageJob,
  services: ReadonlyMap<string, StageService>,
  nowMs: number,
  marginMs: number
): StageAdmission {
  const missing = job.stages.find(stage => (services.get(stage.service)?.upstreams.size ?? 0) === 0)
  if (missing !== undefined) {
    return {
      isAccepted: false,
      reason: `no upstream of ${missing.service}`,
      retryAfterMs: stageConstants.minRetryAfterMs,
      finishInMs: Infinity
    }
  }
  const finishInMs = computeFinishMs(job, services, nowMs)
  const aimLeftMs = job.targetAtMs - nowMs
  const timeLeftMs = job.deadlineAtMs - nowMs
  if (finishInMs + marginMs <= aimLeftMs) return { isAccepted: true, isLate: false, finishInMs }
  const lateWaitMs = computeLateWaitMs(job, services, nowMs)
  const finishLateMs = finishInMs + lateWaitMs
  const { lateDeadlineShare: lateAcceptShare, maxLateWaitMs } = stageConstants
  if (lateWaitMs <= maxLateWaitMs && finishLateMs <= timeLeftMs * lateAcceptShare) return { isAccepted: true, isLate: true, finishInMs: finishLateMs }
  return { isAccepted: false, reason: 'stage queues are too long', retryAfterMs: computeRetryAfterMs(lateWaitMs), finishInMs }
}

/**
 * Expected time until the last stage is done. A stage starts when its inputs are there, after the wait that work has
 * lately had in its queue, and not before the accepted work that goes before the job is drained.
 */
function computeFinishMs (job: StageJob, services: ReadonlyMap<string, StageService>, nowMs: number): number {
  const finish = new Map<number, number>()
  let lastMs = 0
  for (const stage of [...job.stages].sort((a, b) => a.index - b.index)) {
    const service = services.get(stage.service)!
    const { batchSize, callMs, pieceMs } = service.spec
    const readyMs = Math.max(0, ...stage.after.map(index => finish.get(index) ?? 0))
    const ahead = countPiecesAhead(job, service, nowMs)
    const capacity = service.computeCapacityPerMs(nowMs)
    const drainedMs = capacity === 0 ? Infinity : Math.max(ahead - batchSize, 0) / capacity
    const startMs = stage.after.length === 0 ? Math.max(service.computeFirstFreeMs(nowMs), drainedMs) : Math.max(readyMs + service.recentWaitMs, drainedMs)
    const shared = Math.min(batchSize, stage.pieceCount + ahead / Math.max(service.upstreams.size, 1))
    const ownMs = service.costs.getFactor(`${job.route}:${stage.index}`) * pieceMs
    const endMs = startMs + (callMs + shared * ownMs) * Math.ceil(stage.pieceCount / batchSize)
    finish.set(stage.index, endMs)
    lastMs = Math.max(lastMs, endMs)
  }
  return lastMs
}

/** Pieces of accepted work on time that goes before the job: those with less time to spare, by the order of the queues. */
function countPiecesAhead (job: StageJob, service: StageService, nowMs: number): number {
  const orderMs = nowMs + job.priority * stageConstants.priorityStepMs
  let count = 0
  for (const waiting of service.backlog.jobs) {
    if (waiting.sortKeyMs <= orderMs) count += waiting.pieces
  }
  return count
}

/** Expected wait of late work, which gets what work on time leaves over. */
function computeLateWaitMs (job: StageJob, services: ReadonlyMap<string, StageService>, nowMs: number): number {
  let waitMs = 0
  for (const stage of job.stages) {
    const service = services.get(stage.service)!
    const capacity = service.computeCapacityPerMs(nowMs)
    const spare = Math.max(capacity - service.computeSentPerMs(nowMs), capacity * stageConstants.minLateCapacityShare)
    waitMs = Math.max(waitMs, spare === 0 ? Infinity : service.backlog.late / spare)
  }
  return waitMs
}

function computeRetryAfterMs (waitMs: number): number {
  return Math.min(Math.max(waitMs, stageConstants.minRetryAfterMs), stageConstants.maxRetryAfterMs)
}
