import { benchConstants } from './constants.js'

/** Counts tokens in buckets of time, to compute the rate of the part of a run in which all streams were open. */
export class TokenRate {
  private readonly buckets = new Map<number, number>()

  recordTokens (count: number, nowMs: number): void {
    const bucket = Math.floor(nowMs / benchConstants.bucketMs)
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + count)
  }

  /** Counts the tokens between two times, to the precision of a bucket. */
  countTokens (fromMs: number, toMs: number): number {
    const { bucketMs } = benchConstants
    return [...this.buckets]
      .filter(([bucket]) => bucket * bucketMs >= fromMs && (bucket + 1) * bucketMs <= toMs)
      .reduce((sum, [, count]) => sum + count, 0)
  }
}
