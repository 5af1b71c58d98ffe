import { stageConstants } from './constants.js'
import type { StageCall } from './stageCall.js'
import type { StagePiece } from '../model/stagePiece.js'
import type { StagePieceRef } from './stagePieceRef.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'
import type { StageUpstream } from './stageUpstream.js'
import { TaskLane } from './taskLane.js'
import type { TaskRank } from './taskRank.js'

interface BuildOptions {
  readonly service: StageService
  /** Ready tasks, the first one first. */
  readonly ranks: readonly TaskRank[]
  readonly nowMs: number
  readonly callId: number
}

/**
 * Fills the next call of a service, or undefined when no upstream is free or the work waits for one in its domain.
 * The load it answers: few upstreams before many requests, where the fixed time of a call is shared by all its
 * pieces, and inputs that are dear to move between failure domains.
 */
export function buildStageCall ({ service, ranks, nowMs, callId }: BuildOptions): StageCall | undefined {
  const idle = service.listIdle(nowMs)
  if (idle.length === 0) return undefined
  for (const first of ranks) {
    if (first.lane !== TaskLane.onTime && !isFreeForLate(service, idle)) return undefined
    const upstream = chooseUpstream(service, first, idle, nowMs)
    if (upstream === undefined) continue
    const refs = choosePieces(service, upstream, idle, [first, ...ranks.filter(rank => rank !== first)])
    if (refs.length > 0) return buildCall(service, upstream, refs, nowMs, callId)
  }
  return undefined
}

/** Late work alone does not take the last idle upstream while work on time is on its way: a call would block it for long. */
function isFreeForLate (service: StageService, idle: readonly StageUpstream[]): boolean {
  return service.backlog.onTime === 0 || idle.length > stageConstants.idleForOnTime
}

/** The fastest idle upstream, in the domain of the inputs when they are heavy; undefined to wait for one there. */
function chooseUpstream (
  service: StageService,
  { task, lane, slackMs }: TaskRank,
  idle: readonly StageUpstream[],
  nowMs: number
): StageUpstream | undefined {
  const withRoom = idle.filter(upstream => hasRoom(service, upstream, task.work.resultBytes))
  const domain = findWantedDomain(task)
  const local = withRoom.filter(upstream => upstream.failureDomain === domain)
  const isServedThere = [...service.upstreams.values()].some(upstream => upstream.failureDomain === domain && !upstream.isDraining)
  if (local.length > 0) return findFastest(local)
  const hasWaited = nowMs - task.readyAtMs >= stageConstants.maxDomainWaitMs
  if (isServedThere && hasHeavyInputs(task) && !hasWaited && (lane !== TaskLane.onTime || slackMs > stageConstants.domainPatienceMs)) return undefined
  return findFastest(withRoom)
}

function findFastest (upstreams: readonly StageUpstream[]): StageUpstream | undefined {
  return [...upstreams].sort((a, b) => a.slowdown - b.slowdown)[0]
}

function hasRoom (service: StageService, upstream: StageUpstream, bytes: number): boolean {
  return upstream.usedRoomBytes + bytes <= service.spec.resultRoomBytes || upstream.usedRoomBytes === 0
}

/** Takes pieces in order of rank while there is room; the last task may be split, because a place left empty is lost. */
function choosePieces (service: StageService, upstream: StageUpstream, idle: readonly StageUpstream[], ranks: readonly TaskRank[]): readonly StagePieceRef[] {
  const refs: StagePieceRef[] = []
  const { batchSize, resultRoomBytes } = service.spec
  let roomBytes = resultRoomBytes - upstream.usedRoomBytes
  const isElsewhere = ({ task }: TaskRank): boolean => hasHeavyInputs(task) && findWantedDomain(task) !== upstream.failureDomain
  const [first, ...rest] = ranks
  const local = rest.filter(rank => !isElsewhere(rank))
  // A place left empty is lost, so work from elsewhere fills it when no upstream is idle where its inputs lie.
  const idleDomains = new Set(idle.map(({ failureDomain }) => failureDomain))
  const fillers = rest.filter(rank => isElsewhere(rank) && rank.lane === TaskLane.onTime && !idleDomains.has(findWantedDomain(rank.task)))
  for (const { task } of [first!, ...local, ...fillers]) {
    const free = batchSize - refs.length
    if (free === 0) break
    for (const pieceIndex of task.pending.slice(0, free)) {
      if (roomBytes < task.work.resultBytes && refs.length > 0) break
      roomBytes -= task.work.resultBytes
      refs.push({ task, pieceIndex })
    }
  }
  return refs
}

function buildCall (service: StageService, upstream: StageUpstream, refs: readonly StagePieceRef[], nowMs: number, id: number): StageCall {
  const { callMs, pieceMs } = service.spec
  const piecesMs = refs.reduce((sum, { task }) => sum + pieceMs * service.costs.getFactor(`${task.job.job.route}:${task.work.index}`), 0)
  const expectedMs = callMs + piecesMs
  const slowedMs = expectedMs * Math.max(upstream.slowdown, 1)
  return {
    id,
    service: service.name,
    upstreamId: upstream.id,
    pieces: refs.map(ref => buildPiece(ref, nowMs)),
    refs,
    sentAtMs: nowMs,
    expectedMs,
    timeoutMs: slowedMs * stageConstants.callTimeoutFactor + stageConstants.callTimeoutSlackMs
  }
}

function buildPiece ({ task, pieceIndex }: StagePieceRef, nowMs: number): StagePiece {
  const { job } = task.job
  const piece = { requestId: job.requestId, stageIndex: task.work.index, pieceIndex, timeLeftMs: job.deadlineAtMs - nowMs }
  if (task.work.after.length === 0) return { ...piece, pieceKey: job.pieceKey }
  return { ...piece, inputs: task.job.listInputTasks(task).flatMap(input => input.handles as string[]) }
}

function hasHeavyInputs (task: StageTask): boolean {
  const bytes = task.job.listInputTasks(task).reduce((sum, input) => sum + input.work.resultBytes * input.work.pieceCount, 0)
  return bytes * task.work.pieceCount >= stageConstants.heavyInputBytes
}

/** Where most inputs lie; for a first stage with heavy results, where the engine is wanted. */
function findWantedDomain (task: StageTask): string {
  const domains = task.job.listInputTasks(task).flatMap(input => input.domains).filter(domain => domain !== undefined)
  if (domains.length === 0) return task.work.resultBytes >= stageConstants.heavyResultBytes ? task.job.job.preferredDomain : ''
  const counts = new Map<string, number>()
  for (const domain of domains) counts.set(domain, (counts.get(domain) ?? 0) + 1)
  return [...counts].sort((a, b) => b[1] - a[1])[0]![0]
}
