import type { ClaimRecord } from './claimRecord.js'
import type { SegmentMutation } from './segmentMutation.js'

/** Makes mutations of claim segments durable. */
export interface ClaimCommitter {
  /**
   * Resolves with the record stored afterwards. Rejects with a `LycheetrackError` when that could not be
   * confirmed by `deadlineMs` (monotonic); the mutation may then still have taken effect.
   */
  write (segmentKey: string, mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined>
}
