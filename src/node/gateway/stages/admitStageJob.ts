import { computeSortKeyMs } from './computeSortKeyMs.js'
import { stageConstants } from './constants.js'
import type { StageJob } from './stageJob.js'
import type { StageService } from './stageService.js'

import type { StageAdmission } from './stageAdmission.js'

/**
 * Decides whether the stages of a job may start, from the queue lengths and measured call times of the stage services.
 * Load peaks reach up to three times the mean for some seconds, and the stage services are then the bottleneck. Jobs
 * that can meet their target are accepted; the others are accepted only into spare capacity.
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
      isDeclined: job.isDeclinable,
      reason: `no upstream of ${missing.service}`,
      retryAfterMs: stageConstants.minRetryAfterMs,
      finishInMs: Infinity
    }
  }
  const finishInMs = computeFinishMs(job, services, nowMs)
  const targetLeftMs = job.targetAtMs - nowMs
  const timeLeftMs = job.deadlineAtMs - nowMs
  if (finishInMs + marginMs <= targetLeftMs) return { isAccepted: true, isLate: false, finishInMs }
  if (job.isDeclinable) return { isAccepted: false, isDeclined: true, reason: 'not expected to be on time', retryAfterMs: stageConstants.minRetryAfterMs, finishInMs }
  const lateWaitMs = computeLateWaitMs(job, services, nowMs)
  const lateFinishMs = finishInMs + lateWaitMs
  const { lateDeadlineShare, maxLateWaitMs } = stageConstants
  if (lateWaitMs <= maxLateWaitMs && lateFinishMs <= timeLeftMs * lateDeadlineShare) return { isAccepted: true, isLate: true, finishInMs: lateFinishMs }
  return { isAccepted: false, isDeclined: false, reason: 'stage queues are too long', retryAfterMs: computeRetryAfterMs(lateWaitMs), finishInMs }
}

/**
 * Expected time until the last stage is done. A stage starts once its inputs are available, after the recent average
 * wait in its queue, and not before the accepted work ahead of the job has drained.
 */
function computeFinishMs (job: StageJob, services: ReadonlyMap<string, StageService>, nowMs: number): number {
  const finish = new Map<number, number>()
  const sortKeyMs = computeSortKeyMs(job, services, nowMs)
  let lastMs = 0
  for (const stage of [...job.stages].sort((a, b) => a.index - b.index)) {
    const service = services.get(stage.service)!
    const { batchSize, callMs, pieceMs } = service.spec
    const readyMs = Math.max(0, ...stage.after.map(index => finish.get(index) ?? 0))
    const piecesAhead = countPiecesAhead(service, sortKeyMs)
    const capacity = service.computeCapacityPerMs(nowMs)
    const drainedMs = capacity === 0 ? Infinity : Math.max(piecesAhead - batchSize, 0) / capacity
    const startMs = stage.after.length === 0 ? Math.max(service.computeFirstFreeMs(nowMs), drainedMs) : Math.max(readyMs + service.recentWaitMs, drainedMs)
    const piecesPerCall = Math.min(batchSize, stage.pieceCount + piecesAhead / Math.max(service.upstreams.size, 1))
    const estimatedPieceMs = service.costs.getFactor(`${job.route}:${stage.index}`) * pieceMs
    const endMs = startMs + (callMs + piecesPerCall * estimatedPieceMs) * Math.ceil(stage.pieceCount / batchSize)
    finish.set(stage.index, endMs)
    lastMs = Math.max(lastMs, endMs)
  }
  return lastMs
}

/** Counts the pieces of accepted on-time jobs that precede the job in the order of the queues. */
function countPiecesAhead (service: StageService, sortKeyMs: number): number {
  let count = 0
  for (const other of service.backlog.jobs) {
    if (other.sortKeyMs <= sortKeyMs) count += other.pieces
  }
  return count
}

/**
 * Expected wait of late work, which gets only the capacity that on-time work leaves: at least as long as the oldest late
 * job has waited for its start. At a load peak, the rate of the last second says little about the capacity that is left.
 */
function computeLateWaitMs (job: StageJob, services: ReadonlyMap<string, StageService>, nowMs: number): number {
  let waitMs = 0
  for (const stage of job.stages) {
    const service = services.get(stage.service)!
    const capacity = service.computeCapacityPerMs(nowMs)
    const spareCapacity = Math.max(capacity - service.computeSentPerMs(nowMs), capacity * stageConstants.minLateCapacityShare)
    const { late, oldestLateAtMs } = service.backlog
    waitMs = Math.max(waitMs, spareCapacity === 0 ? Infinity : late / spareCapacity, nowMs - oldestLateAtMs)
  }
  return waitMs
}

function computeRetryAfterMs (waitMs: number): number {
  return Math.min(Math.max(waitMs, stageConstants.minRetryAfterMs), stageConstants.maxRetryAfterMs)
}
