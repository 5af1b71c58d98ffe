import { PieceCosts } from './pieceCosts.js'
import { ResultRoom } from './resultRoom.js'
import { stageConstants } from './constants.js'
import type { StageLoad } from './stageLoad.js'
import type { StageSpec } from '../model/stageSpec.js'
import type { StageTask } from './stageTask.js'
import type { StageUpstream } from './stageUpstream.js'
import type { UpstreamDemands } from '../model/upstreamDemands.js'

/** Queue and upstreams of one stage service. */
export class StageService {
  readonly upstreams = new Map<string, StageUpstream>()
  /** Tasks whose inputs are available and that have pieces to send. */
  readonly readyTasks = new Set<StageTask>()
  readonly costs = new PieceCosts()
  readonly room = new ResultRoom()
  /** Accepted pieces that are not in a call yet, of on-time and of late jobs. */
  readonly backlog: {
    onTime: number,
    late: number,
    /** Pieces of on-time jobs and of late jobs that have started, whose results occupy memory until the jobs are done. */
    committed: number,
    /** Waiting pieces of jobs that have started. */
    started: number,
    /** Arrival of the oldest late job that has not started; infinite without one. */
    oldestLateAtMs: number,
    /** Pieces of each on-time job, with its place in the order of the queue. */
    jobs: Array<{ readonly sortKeyMs: number, readonly pieces: number }>
  } = { onTime: 0, late: 0, committed: 0, started: 0, oldestLateAtMs: Infinity, jobs: [] }

  /** Moving average of the time that on-time work waits for a call after its inputs are available. */
  recentWaitMs = 0
  private readonly sentPieces: Array<{ readonly atMs: number, readonly count: number }> = []

  constructor (readonly name: string, public spec: StageSpec) {}

  listIdleUpstreams (nowMs: number): readonly StageUpstream[] {
    return [...this.upstreams.values()].filter(upstream => upstream.isIdle(nowMs, this.spec.concurrentCalls))
  }

  /** Memory for results of each upstream that calls may fill. */
  get usableRoomBytes (): number {
    return this.spec.resultRoomBytes * this.room.usableShare
  }

  /**
   * Whether pieces of a job that starts now would be taken before their inputs expire, after those of the jobs that have
   * started.
   */
  hasTimeForMore (nowMs: number): boolean {
    const waitMs = this.backlog.started / this.computeCapacityPerMs(nowMs)
    return waitMs <= this.spec.resultLifetimeMs * stageConstants.startLifetimeShare
  }

  /** Estimated time that a piece of a kind adds to its call. */
  computePieceMs (pieceKind: string): number {
    return this.spec.pieceMs * this.costs.getFactor(pieceKind)
  }

  /** Pieces that all available upstreams together finish in a millisecond with full calls. */
  computeCapacityPerMs (nowMs: number, pieceMs = this.spec.pieceMs): number {
    const callMs = this.spec.callMs + this.spec.batchSize * pieceMs
    let capacity = 0
    for (const upstream of this.upstreams.values()) {
      // An upstream counts as at most twice as fast as expected.
      if (upstream.isDraining || upstream.getPauseEndMs() > nowMs) continue
      const intervalMs = upstream.requestsPerSecond === undefined ? 0 : 1000 / upstream.requestsPerSecond
      capacity += this.spec.batchSize / Math.max(callMs * Math.max(upstream.slowdown, 0.5), intervalMs)
    }
    return capacity
  }

  /** Whether late work may start: the committed pieces fill less than a full call to each upstream. */
  hasSpareCapacity (): boolean {
    return this.backlog.committed < stageConstants.maxCommittedBatchesPerUpstream * this.spec.batchSize * this.upstreams.size
  }

  /** Time until the first upstream can take a call; infinite without upstreams. */
  computeFirstFreeMs (nowMs: number): number {
    let first = Infinity
    for (const upstream of this.upstreams.values()) {
      if (upstream.isDraining) continue
      const isBusy = upstream.isBusy(this.spec.concurrentCalls)
      first = Math.min(first, Math.max(isBusy ? upstream.busyUntilMs : nowMs, upstream.computeAvailableAtMs(), nowMs))
    }
    return first - nowMs
  }

  /** Time of the next planning: the end of a pause or of a wait for a failure domain. Infinite when nothing waits. */
  findNextPlanAtMs (nowMs: number): number {
    if (this.readyTasks.size === 0) return Infinity
    let next = nowMs + stageConstants.minDomainWaitSlackMs
    for (const upstream of this.upstreams.values()) {
      const availableAtMs = upstream.computeAvailableAtMs()
      if (availableAtMs > nowMs) next = Math.min(next, availableAtMs)
    }
    return next
  }

  computeLoad (nowMs: number): StageLoad {
    return {
      service: this.name,
      queuedPieces: this.backlog.onTime,
      latePieces: this.backlog.late,
      idle: this.listIdleUpstreams(nowMs).length,
      upstreams: this.upstreams.size
    }
  }

  /** Applies for how long conditions hold back each upstream, and how many calls they allow there. */
  applyHolds (findDemands: (upstreamId: string) => UpstreamDemands | undefined, nowMs: number): void {
    for (const upstream of this.upstreams.values()) {
      const demands = findDemands(upstream.id)
      upstream.heldUntilMs = nowMs + (demands?.waitMs ?? 0)
      upstream.places = demands?.places ?? Infinity
    }
  }

  /** Ends holds whose conditions have ended since the last planning. */
  updateHolds (findDemands: (upstreamId: string) => UpstreamDemands | undefined, nowMs: number): void {
    for (const upstream of this.upstreams.values()) {
      if (upstream.heldUntilMs <= nowMs) continue
      upstream.heldUntilMs = Math.min(upstream.heldUntilMs, nowMs + (findDemands(upstream.id)?.waitMs ?? 0))
    }
  }

  /** Records the wait of a task until its first call. */
  observeWait (waitMs: number): void {
    this.recentWaitMs += stageConstants.waitWeight * (waitMs - this.recentWaitMs)
  }

  recordSentPieces (count: number, nowMs: number): void {
    this.sentPieces.push({ atMs: nowMs, count })
    this.removeOldSends(nowMs)
  }

  /** Pieces sent per millisecond, averaged over the last second. */
  computeSentPerMs (nowMs: number): number {
    this.removeOldSends(nowMs)
    return this.sentPieces.reduce((sum, sent) => sum + sent.count, 0) / stageConstants.loadWindowMs
  }

  private removeOldSends (nowMs: number): void {
    while (this.sentPieces.length > 0 && this.sentPieces[0]!.atMs < nowMs - stageConstants.loadWindowMs) this.sentPieces.shift()
  }
}
