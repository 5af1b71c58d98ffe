import type { ClaimRecord } from './claimRecord.js'

/** A change of one claim in a segment. */
export interface SegmentMutation {
  /** `account/requestId`. */
  readonly claimKey: string
  /**
   * The record to store in place of `stored`, or `stored` itself when nothing has to change. Must give the same
   * result when it is applied again after a write whose answer was lost.
   */
  apply (stored: ClaimRecord | undefined): ClaimRecord | undefined
}
