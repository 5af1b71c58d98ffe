import { PieceCosts } from './pieceCosts.js'
import { stageConstants } from './constants.js'
import type { StageSpec } from '../model/stageSpec.js'
import type { StageTask } from './stageTask.js'
import type { StageUpstream } from './stageUpstream.js'

/** Queue and upstreams of one stage service. */
export class StageService {
  readonly upstreams = new Map<string, StageUpstream>()
  /** Tasks that have pieces to send. */
  readonly readyTasks = new Set<StageTask>()
  readonly costs = new PieceCosts()
  /** Accepted pieces that are not in a call yet, of jobs that can be on time and of late ones. */
  readonly backlog: {
    onTime: number,
    late: number,
    /** Pieces of jobs on time and of late ones that have begun: their results hold memory until they are done. */
    committed: number,
    jobs: Array<{ readonly sortKeyMs: number, readonly pieces: number }>
  } = { onTime: 0, late: 0, committed: 0, jobs: [] }

  /** Average time that work on time has lately waited for a call, since its inputs were there. */
  recentWaitMs = 0
  private readonly sentPieces: Array<{ readonly atMs: number, readonly count: number }> = []

  constructor (readonly name: string, public spec: StageSpec) {}

  listIdleUpstreams (nowMs: number): readonly StageUpstream[] {
    return [...this.upstreams.values()].filter(upstream => upstream.isIdle(nowMs, this.spec.concurrentCalls))
  }

  /** Pieces that all upstreams together finish in a millisecond with full calls. */
  computeCapacityPerMs (nowMs: number, pieceMs = this.spec.pieceMs): number {
    const callMs = this.spec.callMs + this.spec.batchSize * pieceMs
    let capacity = 0
    for (const upstream of this.upstreams.values()) {
      if (!upstream.isDraining && upstream.pausedUntilMs <= nowMs) capacity += this.spec.batchSize / (callMs * Math.max(upstream.slowdown, 0.5))
    }
    return capacity
  }

  /** Whether late work that has not begun may take capacity: the work in progress fills less than a round of full calls. */
  hasSpareCapacity (): boolean {
    return this.backlog.committed < stageConstants.maxCommittedBatchesPerUpstream * this.spec.batchSize * this.upstreams.size
  }

  /** Time until the first upstream can take a call; infinite without upstreams. */
  computeFirstFreeMs (nowMs: number): number {
    let first = Infinity
    for (const upstream of this.upstreams.values()) {
      if (upstream.isDraining) continue
      const isBusy = upstream.callsInFlight >= this.spec.concurrentCalls
      first = Math.min(first, Math.max(isBusy ? upstream.busyUntilMs : nowMs, upstream.pausedUntilMs, nowMs))
    }
    return first - nowMs
  }

  /** A task was given a call for the first time. */
  observeWait (waitMs: number): void {
    this.recentWaitMs += stageConstants.waitWeight * (waitMs - this.recentWaitMs)
  }

  recordSentPieces (count: number, nowMs: number): void {
    this.sentPieces.push({ atMs: nowMs, count })
    this.removeOldSends(nowMs)
  }

  /** Pieces that were sent in a millisecond, over the last second. */
  computeSentPerMs (nowMs: number): number {
    this.removeOldSends(nowMs)
    return this.sentPieces.reduce((sum, sent) => sum + sent.count, 0) / stageConstants.loadWindowMs
  }

  private removeOldSends (nowMs: number): void {
    while (this.sentPieces.length > 0 && this.sentPieces[0]!.atMs < nowMs - stageConstants.loadWindowMs) this.sentPieces.shift()
  }
}
