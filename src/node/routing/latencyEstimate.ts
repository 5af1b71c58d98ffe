import { routingConstants } from './constants.js'

/**
 * Estimates the usual latency of one operation of a pool from this host's own calls. The base follows the
 * lower quartile, which is robust against a quarter of slowed upstreams and a few stragglers, and rises slowly.
 */
export class LatencyEstimate {
  private baseMs: number
  private recentMs: number
  private observations = 0
  private lastRiseMs = 0
  private p99Ratio = 2

  constructor (initialMs: number) {
    this.baseMs = initialMs
    this.recentMs = initialMs
  }

  getBaseMs (): number {
    return this.baseMs
  }

  /** 99th percentile of the latency relative to the prediction, within the bounds of the hedge delay. */
  getP99Ratio (): number {
    return this.p99Ratio
  }

  /** Recent mean latency, which includes the slowdown by full batches; never below the base. */
  getRecentMeanMs (): number {
    return Math.max(this.baseMs, this.recentMs)
  }

  observeRecent (ms: number): void {
    this.recentMs += 0.05 * (Math.min(ms, this.baseMs * 3) - this.recentMs)
  }

  observeBase (ms: number, nowMs: number): void {
    this.observations++
    if (this.observations === 1) {
      this.baseMs = Math.max(ms, 0.01)
      this.lastRiseMs = nowMs
      return
    }
    // Steps down are three times as large as steps up, so the base settles at the lower quartile.
    const step = Math.max(0.02, 0.5 / this.observations)
    if (ms < this.baseMs) {
      this.baseMs = Math.max(this.baseMs * (1 - step * 0.75), ms)
      return
    }
    // `maxBaseRisePerSecond` applies after the first 50 observations.
    const allowed = this.observations < 50 ? 1 : (nowMs - this.lastRiseMs) / 1000 * routingConstants.maxBaseRisePerSecond
    this.baseMs = Math.min(this.baseMs * (1 + Math.min(step * 0.25, allowed)), ms)
    this.lastRiseMs = nowMs
  }

  observeRatio (ratio: number): void {
    // Steps up are 99 times as large as steps down, so the ratio settles at the 99th percentile.
    this.p99Ratio *= ratio > this.p99Ratio ? 1 + 0.05 * 0.99 : 1 - 0.05 * 0.01
    this.p99Ratio = Math.min(Math.max(this.p99Ratio, routingConstants.minHedgeRatio), routingConstants.maxHedgeRatio)
  }
}
