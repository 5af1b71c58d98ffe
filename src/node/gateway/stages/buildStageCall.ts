import { stageConstants } from './constants.js'
import type { StageCall } from './stageCall.js'
import type { StagePiece } from '../model/stagePiece.js'
import type { StagePieceRef } from './stagePieceRef.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'
import type { StageUpstream } from './stageUpstream.js'
import { SchedulingClass } from './schedulingClass.js'
import type { RankedTask } from './rankedTask.js'

interface BuildOptions {
  readonly service: StageService
  /** Ready tasks, the first one first. */
  readonly rankedTasks: readonly RankedTask[]
  readonly nowMs: number
  readonly callId: number
}

/**
 * Fills the next call of a service, or undefined when no upstream is free or the work waits for one in its domain.
 * The load it answers: few upstreams before many requests, where the fixed time of a call is shared by all its
 * pieces, and inputs that are dear to move between failure domains.
 */
export function buildStageCall ({ service, rankedTasks: ranks, nowMs, callId }: BuildOptions): StageCall | undefined {
  const idle = service.listIdleUpstreams(nowMs)
  if (idle.length === 0) return undefined
  for (const first of ranks) {
    if (first.schedulingClass !== SchedulingClass.onTime && !hasUpstreamForLateWork(service, idle)) return undefined
    const upstream = chooseUpstream(service, first, idle, nowMs)
    if (upstream === undefined) continue
    const refs = choosePieces(service, upstream, idle, [first, ...ranks.filter(rank => rank !== first)])
    if (refs.length > 0) return buildCall(service, upstream, refs, nowMs, callId)
  }
  return undefined
}

/** Late work alone does not take the last idle upstream while work on time is on its way: a call would block it for long. */
function hasUpstreamForLateWork (service: StageService, idle: readonly StageUpstream[]): boolean {
  return service.backlog.onTime === 0 || idle.length > stageConstants.idleReservedForOnTime
}

/** The fastest idle upstream, in the domain of the inputs when they are heavy; undefined to wait for one there. */
function chooseUpstream (
  service: StageService,
  { task, schedulingClass: lane, slackMs }: RankedTask,
  idle: readonly StageUpstream[],
  nowMs: number
): StageUpstream | undefined {
  const withRoom = idle.filter(upstream => hasResultMemory(service, upstream, task.work.resultBytes))
  const domain = findPreferredDomain(task)
  const local = withRoom.filter(upstream => upstream.failureDomain === domain)
  const isServedThere = [...service.upstreams.values()].some(upstream => upstream.failureDomain === domain && !upstream.isDraining)
  if (local.length > 0) return findFastest(local)
  const hasWaited = nowMs - task.readyAtMs >= stageConstants.maxDomainWaitMs
  if (isServedThere && hasLargeInputs(task) && !hasWaited && (lane !== SchedulingClass.onTime || slackMs > stageConstants.minDomainWaitSlackMs)) return undefined
  return findFastest(withRoom)
}

function findFastest (upstreams: readonly StageUpstream[]): StageUpstream | undefined {
  return [...upstreams].sort((a, b) => a.slowdown - b.slowdown)[0]
}

function hasResultMemory (service: StageService, upstream: StageUpstream, bytes: number): boolean {
  return upstream.reservedResultBytes + bytes <= service.spec.resultRoomBytes || upstream.reservedResultBytes === 0
}

/** Takes pieces in order of rank while there is room; the last task may be split, because a place left empty is lost. */
function choosePieces (service: StageService, upstream: StageUpstream, idle: readonly StageUpstream[], ranks: readonly RankedTask[]): readonly StagePieceRef[] {
  const refs: StagePieceRef[] = []
  const { batchSize, resultRoomBytes } = service.spec
  let roomBytes = resultRoomBytes - upstream.reservedResultBytes
  const isElsewhere = ({ task }: RankedTask): boolean => hasLargeInputs(task) && findPreferredDomain(task) !== upstream.failureDomain
  const [first, ...rest] = ranks
  const local = rest.filter(rank => !isElsewhere(rank))
  // A place left empty is lost, so work from elsewhere fills it when no upstream is idle where its inputs lie.
  const idleDomains = new Set(idle.map(({ failureDomain }) => failureDomain))
  const fillers = rest.filter(rank => isElsewhere(rank) && rank.schedulingClass === SchedulingClass.onTime && !idleDomains.has(findPreferredDomain(rank.task)))
  for (const { task } of [first!, ...local, ...fillers]) {
    const free = batchSize - refs.length
    if (free === 0) break
    for (const pieceIndex of task.pendingPieces.slice(0, free)) {
      if (roomBytes < task.work.resultBytes && refs.length > 0) break
      roomBytes -= task.work.resultBytes
      refs.push({ task, pieceIndex })
    }
  }
  return refs
}

function buildCall (service: StageService, upstream: StageUpstream, refs: readonly StagePieceRef[], nowMs: number, id: number): StageCall {
  const { callMs, pieceMs } = service.spec
  const piecesMs = refs.reduce((sum, { task }) => sum + pieceMs * service.costs.getFactor(`${task.jobState.job.route}:${task.work.index}`), 0)
  const expectedMs = callMs + piecesMs
  const slowedMs = expectedMs * Math.max(upstream.slowdown, 1)
  return {
    id,
    service: service.name,
    upstreamId: upstream.id,
    pieces: refs.map(ref => buildPiece(ref, nowMs)),
    pieceRefs: refs,
    sentAtMs: nowMs,
    expectedMs,
    timeoutMs: slowedMs * stageConstants.callTimeoutFactor + stageConstants.callTimeoutMarginMs
  }
}

function buildPiece ({ task, pieceIndex }: StagePieceRef, nowMs: number): StagePiece {
  const { job } = task.jobState
  const piece = { requestId: job.requestId, stageIndex: task.work.index, pieceIndex, timeLeftMs: job.deadlineAtMs - nowMs }
  if (task.work.after.length === 0) return { ...piece, pieceKey: job.pieceKey }
  return { ...piece, inputs: task.jobState.listInputTasks(task).flatMap(input => input.handles as string[]) }
}

function hasLargeInputs (task: StageTask): boolean {
  const bytes = task.jobState.listInputTasks(task).reduce((sum, input) => sum + input.work.resultBytes * input.work.pieceCount, 0)
  return bytes * task.work.pieceCount >= stageConstants.largeInputBytes
}

/** Where most inputs lie; for a first stage with heavy results, where the engine is wanted. */
function findPreferredDomain (task: StageTask): string {
  const domains = task.jobState.listInputTasks(task).flatMap(input => input.resultDomains).filter(domain => domain !== undefined)
  if (domains.length === 0) return task.work.resultBytes >= stageConstants.largeResultBytes ? task.jobState.job.preferredDomain : ''
  const counts = new Map<string, number>()
  for (const domain of domains) counts.set(domain, (counts.get(domain) ?? 0) + 1)
  return [...counts].sort((a, b) => b[1] - a[1])[0]![0]
}
