import { routingConstants } from './constants.js'

/**
 * Usual latency of one operation of a pool, from this host's own calls. The base follows the lower
 * quartile, which neither a quarter of slowed upstreams nor a few stragglers move, and rises slowly.
 */
export class LatencyModel {
  private baseMs: number
  private recentMs: number
  private observed = 0
  private risenMs = 0
  private tail = 2

  constructor (initialMs: number) {
    this.baseMs = initialMs
    this.recentMs = initialMs
  }

  getBaseMs (): number {
    return this.baseMs
  }

  /** 99th percentile of latency relative to the prediction. */
  getTailRatio (): number {
    return this.tail
  }

  /** Mean latency of late, full batches included; never below the base. */
  getRecentMs (): number {
    return Math.max(this.baseMs, this.recentMs)
  }

  observeRecent (ms: number): void {
    this.recentMs += 0.05 * (Math.min(ms, this.baseMs * 3) - this.recentMs)
  }

  observeBase (ms: number, nowMs: number): void {
    this.observed++
    if (this.observed === 1) {
      this.baseMs = Math.max(ms, 0.01)
      this.risenMs = nowMs
      return
    }
    const step = Math.max(0.02, 0.5 / this.observed)
    if (ms < this.baseMs) {
      this.baseMs = Math.max(this.baseMs * (1 - step * 0.75), ms)
      return
    }
    const allowed = this.observed < 50 ? 1 : (nowMs - this.risenMs) / 1000 * routingConstants.baseRisePerSecond
    this.baseMs = Math.min(this.baseMs * (1 + Math.min(step * 0.25, allowed)), ms)
    this.risenMs = nowMs
  }

  observeTail (ratio: number): void {
    this.tail *= ratio > this.tail ? 1 + 0.05 * 0.99 : 1 - 0.05 * 0.01
    this.tail = Math.min(Math.max(this.tail, routingConstants.leastHedgeRatio), routingConstants.largestHedgeRatio)
  }
}
