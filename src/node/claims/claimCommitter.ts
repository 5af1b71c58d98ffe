import type { ClaimRecord } from './claimRecord.js'
import type { SegmentMutation } from './segmentMutation.js'

/** Makes mutations of claim segments durable. */
export interface ClaimCommitter {
  /**
   * Resolves with the record as stored after the write. Rejects with a `LycheetrackError` when the write is not
   * confirmed by `deadlineMs` (monotonic clock); it may still have taken effect in that case.
   */
  write (segmentKey: string, mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined>
}
