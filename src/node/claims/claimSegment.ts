import type { ClaimRecord } from './claimRecord.js'

/** Value of one segment entry: the claims of one time slice and partition, by `account/requestId`. */
export interface ClaimSegment {
  /** Lease that removes the segment after the retry window. */
  readonly leaseId: string
  readonly claims: Readonly<Record<string, ClaimRecord>>
}
