import { conditionConstants } from './constants.js'
import type { Random } from '../../../types/random.js'
import type { UpstreamLoad } from '../model/upstreamLoad.js'

interface TakenRequest {
  /** Requests that this host has in progress at the upstream, this one included. */
  readonly inProgress: number
  /** Places of this host's share. */
  readonly share: number
  /** Requests of all hosts at the upstream, when it states them. */
  readonly load: UpstreamLoad | undefined
}

/**
 * Requests that this host may have in progress at one brittle upstream, up to its share: fewer after a rejection, more
 * again slowly. Answers the load of hosts that disagree about who shares the upstream, each of which sees only its own
 * rejections, while the queue of the upstream becomes shorter.
 */
export class BrittlePlaces {
  private pausedUntilMs = -Infinity
  /** Last change of the limit, or the end of the pause after it. */
  private changedAtMs: number
  /** Hosts that change their limits at the same time must not do so again at the same time. */
  private spread: number
  /** Rejections since the last request that was taken. */
  private rejections = 0

  /** `limit` is the number of requests at first. */
  constructor (private limit: number, nowMs: number, private readonly random: Random) {
    this.changedAtMs = nowMs
    this.spread = 1 + random()
  }

  computeAllowed (share: number): number {
    return Math.min(this.limit, share)
  }

  computePauseMs (nowMs: number): number {
    return Math.max(this.pausedUntilMs - nowMs, 0)
  }

  /** Returns the pause that follows; undefined for a rejection within a pause, whose request was sent before it. */
  observeRejection (maxRejections: number, nowMs: number): number | undefined {
    if (nowMs < this.pausedUntilMs) return undefined
    const { brittlePauseMs, brittleFloorPauseMs, maxBrittlePauseMs, brittleViews, brittleHosts } = conditionConstants
    // All hosts that may take themselves for one that shares are rejected at most as often as the upstream bears.
    const sharedPauseMs = brittlePauseMs * Math.max(brittleHosts * brittleViews / maxRejections, 1)
    const floorPauseMs = brittleFloorPauseMs * 2 ** this.rejections
    const longestMs = Math.max(sharedPauseMs, this.limit > 1 ? 0 : floorPauseMs)
    const pauseMs = Math.min(longestMs, maxBrittlePauseMs) * (1 + this.random())
    this.rejections++
    this.limit = Math.max(Math.floor(this.limit / 2), 1)
    this.pausedUntilMs = nowMs + pauseMs
    this.recordChange(this.pausedUntilMs)
    return pauseMs
  }

  /** A request that the upstream has taken. */
  observeTaken ({ inProgress, share, load }: TakenRequest, nowMs: number): void {
    if (nowMs < this.pausedUntilMs) return
    this.rejections = 0
    if (inProgress < this.limit || this.limit >= share || (load !== undefined && load.waiting > 0)) return
    const { brittleGrowMs, brittleFreeGrowMs } = conditionConstants
    // An upstream at which nothing waits has room for more.
    const intervalMs = (load === undefined ? brittleGrowMs : brittleFreeGrowMs) * this.spread
    if (nowMs < this.changedAtMs + intervalMs) return
    this.limit++
    this.recordChange(nowMs)
  }

  private recordChange (nowMs: number): void {
    this.changedAtMs = nowMs
    this.spread = 1 + this.random()
  }
}
