import { build } from 'hdr-histogram-js'
import { metricsConstants } from './constants.js'
import type { Histogram } from 'hdr-histogram-js'

/** Durations of one label combination: quantiles over recent windows, sum and count since the start. */
export class DurationSeries {
  private current = createHistogram()
  private previous = createHistogram()
  private windowEndMs: number
  private sumMs = 0
  private count = 0

  constructor (nowMs: number) {
    this.windowEndMs = nowMs + metricsConstants.windowMs
  }

  record (ms: number, nowMs: number): void {
    this.updateWindow(nowMs)
    const bounded = Math.min(Math.max(ms, 0), metricsConstants.maxDurationMs)
    this.current.recordValue(Math.round(bounded * 1000))
    this.sumMs += bounded
    this.count++
  }

  getSumSeconds (): number {
    return this.sumMs / 1000
  }

  getCount (): number {
    return this.count
  }

  /** Computes the quantiles in seconds; NaN when the current and the previous window hold no value. */
  computeQuantiles (quantiles: readonly number[], nowMs: number): readonly number[] {
    this.updateWindow(nowMs)
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    if (merged.totalCount === 0) return quantiles.map(() => NaN)
    return quantiles.map(quantile => merged.getValueAtPercentile(quantile * 100) / 1e6)
  }

  private updateWindow (nowMs: number): void {
    if (nowMs < this.windowEndMs) return
    const stale = this.previous
    this.previous = this.current
    this.current = stale
    this.current.reset()
    // After a whole window without an update, the other histogram is out of date as well.
    if (nowMs >= this.windowEndMs + metricsConstants.windowMs) this.previous.reset()
    this.windowEndMs = nowMs + metricsConstants.windowMs
  }
}

/** Creates a histogram of microseconds, which grows to the largest value that it has seen. */
function createHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    highestTrackableValue: 1_000_000,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: metricsConstants.significantDigits,
    useWebAssembly: false
  })
}
