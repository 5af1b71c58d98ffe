import { benchConstants } from './constants.js'

const shortestWindowMs = 500

/** Counts tokens by time, to read the rate of the part of a run in which all streams were open. */
export class TokenRate {
  private readonly buckets = new Map<number, number>()
  private total = 0

  get tokenCount (): number {
    return this.total
  }

  recordTokens (count: number, nowMs: number): void {
    const bucket = Math.floor(nowMs / benchConstants.bucketMs)
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + count)
    this.total += count
  }

  /** Tokens a second between two times, over the whole run when they are too close. */
  computeRate (fromMs: number, toMs: number): number {
    const { bucketMs } = benchConstants
    const isShort = toMs - fromMs < shortestWindowMs
    const first = isShort ? Math.min(...this.buckets.keys()) : Math.ceil(fromMs / bucketMs)
    const last = isShort ? Math.max(...this.buckets.keys()) : Math.floor(toMs / bucketMs) - 1
    const tokens = [...this.buckets].filter(([bucket]) => bucket >= first && bucket <= last).reduce((sum, [, count]) => sum + count, 0)
    return tokens / (last - first + 1) / bucketMs * 1000
  }
}
