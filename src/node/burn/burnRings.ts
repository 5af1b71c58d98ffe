import { burnConstants } from './constants.js'
import type { BurnCounts } from './burnCounts.js'
import type { BurnPoint } from './burnPoint.js'

type Outcome = 'attained' | 'missed' | 'excluded'

const { rings } = burnConstants
/** Words per bucket: total, missed and excluded. */
const bucketWords = 3
/** Offset of each ring in a record. A ring starts with one word for the number of its newest bucket. */
const ringOffsets = rings.map((_, i) => rings.slice(0, i).reduce((sum, ring) => sum + 1 + ring.buckets * bucketWords, 0))

/** View of a record of 32-bit words as the ring buffers of one account and kind. All times are milliseconds since the epoch. */
export class BurnRings {
  static readonly recordWords = rings.reduce((sum, ring) => sum + 1 + ring.buckets * bucketWords, 0)

  constructor (private readonly words: Uint32Array) {}

  observe (outcome: Outcome, atMs: number): void {
    for (let ring = 0; ring < rings.length; ring++) {
      const word = this.updateBucket(ring, atMs)
      if (outcome === 'excluded') {
        this.words[word + 2]!++
        continue
      }
      this.words[word]!++
      if (outcome === 'missed') this.words[word + 1]!++
    }
  }

  /** Sums the counters of one ring over its window up to `nowMs`. */
  countRing (ring: number, nowMs: number): BurnCounts {
    const sum = [0, 0, 0]
    for (const { word } of this.listBuckets(ring, nowMs)) {
      for (let i = 0; i < bucketWords; i++) sum[i]! += this.words[word + i]!
    }
    return { total: sum[0]!, missed: sum[1]!, excluded: sum[2]! }
  }

  /** Lists the buckets of one ring that contain requests, oldest first. */
  listPoints (ring: number, nowMs: number): readonly BurnPoint[] {
    return this.listBuckets(ring, nowMs)
      .map(({ bucketNumber, word }) => ({ atMs: bucketNumber * rings[ring]!.bucketMs, total: this.words[word]!, missed: this.words[word + 1]! }))
      .filter(point => point.total > 0)
  }

  /** Clears the buckets between the newest one and the one of `atMs`; returns the word offset of the latter. */
  private updateBucket (ring: number, atMs: number): number {
    const { bucketMs, buckets } = rings[ring]!
    const start = ringOffsets[ring]!
    const newest = this.words[start]!
    // If the wall clock has stepped back, the request counts in the newest bucket.
    const bucketNumber = Math.max(Math.floor(atMs / bucketMs), newest)
    for (let expiredBucket = Math.max(newest + 1, bucketNumber - buckets + 1); expiredBucket <= bucketNumber; expiredBucket++) {
      const word = this.computeWordOffset(ring, expiredBucket)
      this.words.fill(0, word, word + bucketWords)
    }
    this.words[start] = bucketNumber
    return this.computeWordOffset(ring, bucketNumber)
  }

  private listBuckets (ring: number, nowMs: number): ReadonlyArray<{ readonly bucketNumber: number, readonly word: number }> {
    const { bucketMs, buckets } = rings[ring]!
    const newest = this.words[ringOffsets[ring]!]!
    const first = Math.max(Math.floor(nowMs / bucketMs), newest) - buckets + 1
    const found = []
    for (let bucketNumber = Math.max(first, newest - buckets + 1); bucketNumber <= newest; bucketNumber++) found.push({ bucketNumber, word: this.computeWordOffset(ring, bucketNumber) })
    return found
  }

  private computeWordOffset (ring: number, bucketNumber: number): number {
    return ringOffsets[ring]! + 1 + (bucketNumber % rings[ring]!.buckets) * bucketWords
  }
}
