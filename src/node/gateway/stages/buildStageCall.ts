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
  /** Ready tasks in queue order. */
  readonly rankedTasks: readonly RankedTask[]
  readonly nowMs: number
  readonly callId: number
}

/**
 * Builds the next call of a service. Undefined when no upstream is idle, when the last idle one is reserved for on-time
 * work, or when all tasks wait for result memory or for an upstream in the failure domain of their inputs.
 * Few upstreams serve many requests, and all pieces of a call share its fixed time, so a call takes pieces of several
 * requests. Inputs are expensive to move between failure domains, so tasks with large inputs prefer their domain.
 */
export function buildStageCall ({ service, rankedTasks, nowMs, callId }: BuildOptions): StageCall | undefined {
  const idle = service.listIdleUpstreams(nowMs)
  if (idle.length === 0) return undefined
  for (const first of rankedTasks) {
    if (first.schedulingClass !== SchedulingClass.onTime && !hasUpstreamForLateWork(service, idle)) return undefined
    const upstream = chooseUpstream(service, first, idle, nowMs)
    if (upstream === undefined) continue
    const pieceRefs = choosePieces(service, upstream, idle, [first, ...rankedTasks.filter(ranked => ranked !== first)], nowMs)
    if (pieceRefs.length > 0) return buildCall(service, upstream, pieceRefs, nowMs, callId)
  }
  return undefined
}

/** Late work leaves the last idle upstream to on-time work that is yet to be sent: a call would occupy it for long. */
function hasUpstreamForLateWork (service: StageService, idle: readonly StageUpstream[]): boolean {
  return service.backlog.onTime === 0 || idle.length > stageConstants.idleReservedForOnTime
}

/**
 * Chooses the fastest idle upstream, preferably in the failure domain of the inputs. Undefined when the inputs are large
 * and the task has time to wait for an upstream in that domain.
 */
function chooseUpstream (
  service: StageService,
  { task, schedulingClass, slackMs }: RankedTask,
  idle: readonly StageUpstream[],
  nowMs: number
): StageUpstream | undefined {
  const candidates = idle.filter(upstream => hasResultMemory(service, upstream, task.work.resultBytes))
  const domain = findPreferredDomain(task)
  const local = candidates.filter(upstream => upstream.failureDomain === domain)
  const isDomainServed = [...service.upstreams.values()].some(upstream => upstream.failureDomain === domain && !upstream.isDraining)
  if (local.length > 0) return findFastest(local)
  const hasWaited = nowMs - task.readyAtMs >= stageConstants.maxDomainWaitMs
  if (isDomainServed && hasLargeInputs(task) && !hasWaited && (schedulingClass !== SchedulingClass.onTime || slackMs > stageConstants.minDomainWaitSlackMs)) return undefined
  return findFastest(candidates)
}

function findFastest (upstreams: readonly StageUpstream[]): StageUpstream | undefined {
  return [...upstreams].sort((a, b) => a.slowdown - b.slowdown)[0]
}

/** An upstream that holds no results takes a piece of any size: one that exceeds its whole result memory would otherwise never be sent. */
function hasResultMemory (service: StageService, upstream: StageUpstream, bytes: number): boolean {
  return upstream.reservedResultBytes + bytes <= service.usableRoomBytes || upstream.reservedResultBytes === 0
}

/**
 * Takes pieces in queue order while result memory lasts, and while the call ends in time for each of its pieces. The last
 * task may be split, because an unused place in a call is lost capacity.
 */
function choosePieces (
  service: StageService,
  upstream: StageUpstream,
  idle: readonly StageUpstream[],
  rankedTasks: readonly RankedTask[],
  nowMs: number
): readonly StagePieceRef[] {
  const pieceRefs: StagePieceRef[] = []
  const { batchSize, callMs } = service.spec
  const slowdown = Math.max(upstream.slowdown, 1)
  let expectedMs = callMs
  let leastTimeLeftMs = Infinity
  let freeBytes = service.usableRoomBytes - upstream.reservedResultBytes
  const isForOtherDomain = ({ task }: RankedTask): boolean => hasLargeInputs(task) && findPreferredDomain(task) !== upstream.failureDomain
  const [first, ...rest] = rankedTasks
  const local = rest.filter(ranked => !isForOtherDomain(ranked))
  // Tasks from other domains fill the places left in the call when no upstream is idle in the domain of their inputs.
  const idleDomains = new Set(idle.map(({ failureDomain }) => failureDomain))
  const fillers = rest.filter(ranked => isForOtherDomain(ranked) && ranked.schedulingClass === SchedulingClass.onTime && !idleDomains.has(findPreferredDomain(ranked.task)))
  for (const { task } of [first!, ...local, ...fillers]) {
    const freePlaces = batchSize - pieceRefs.length
    if (freePlaces === 0) break
    const timeLeftMs = Math.min(leastTimeLeftMs, task.computeTimeLeftMs(nowMs))
    const pieceMs = service.computePieceMs(task.pieceKind)
    for (const pieceIndex of task.pendingPieces.slice(0, freePlaces)) {
      // The first piece is always taken: `chooseUpstream` has checked the memory for it.
      if (freeBytes < task.work.resultBytes && pieceRefs.length > 0) break
      if ((expectedMs + pieceMs) * slowdown > timeLeftMs && pieceRefs.length > 0) break
      expectedMs += pieceMs
      leastTimeLeftMs = timeLeftMs
      freeBytes -= task.work.resultBytes
      pieceRefs.push({ task, pieceIndex })
    }
  }
  return pieceRefs
}

function buildCall (service: StageService, upstream: StageUpstream, pieceRefs: readonly StagePieceRef[], nowMs: number, id: number): StageCall {
  const { callMs } = service.spec
  const piecesMs = pieceRefs.reduce((sum, { task }) => sum + service.computePieceMs(task.pieceKind), 0)
  const expectedMs = callMs + piecesMs
  const slowedMs = expectedMs * Math.max(upstream.slowdown, 1)
  return {
    id,
    service: service.name,
    upstreamId: upstream.id,
    pieces: buildPieces(pieceRefs, nowMs),
    pieceRefs,
    sentAtMs: nowMs,
    expectedMs,
    timeoutMs: slowedMs * stageConstants.callTimeoutFactor + stageConstants.callTimeoutMarginMs
  }
}

function buildPieces (pieceRefs: readonly StagePieceRef[], nowMs: number): readonly StagePiece[] {
  /** All pieces of a task take the same inputs. */
  const inputsByTask = new Map<StageTask, readonly string[]>()
  return pieceRefs.map(({ task, pieceIndex }) => {
    const { job } = task.jobState
    const piece = { requestId: job.requestId, stageIndex: task.work.index, pieceIndex, timeLeftMs: job.deadlineAtMs - nowMs }
    if (task.work.after.length === 0) return { ...piece, pieceKey: job.pieceKey }
    const inputs = inputsByTask.get(task) ?? task.jobState.listInputTasks(task).flatMap(input => input.listHandles())
    inputsByTask.set(task, inputs)
    return { ...piece, inputs }
  })
}

function hasLargeInputs (task: StageTask): boolean {
  const bytes = task.jobState.listInputTasks(task).reduce((sum, input) => sum + input.work.resultBytes * input.work.pieceCount, 0)
  return bytes * task.work.pieceCount >= stageConstants.largeInputBytes
}

/** Failure domain of most inputs; for a first stage with large results, the domain preferred for the engine. Empty for no preference. */
function findPreferredDomain (task: StageTask): string {
  const domains = task.jobState.listInputTasks(task).flatMap(input => input.listDomains())
  if (domains.length === 0) return task.work.resultBytes >= stageConstants.largeResultBytes ? task.jobState.job.preferredDomain : ''
  const counts = new Map<string, number>()
  for (const domain of domains) counts.set(domain, (counts.get(domain) ?? 0) + 1)
  return [...counts].sort((a, b) => b[1] - a[1])[0]![0]
}
