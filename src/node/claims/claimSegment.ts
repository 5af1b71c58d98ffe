import type { ClaimRecord } from './claimRecord.js'

/**
 * Value of a segment's key in the key-value service: the claims of one time slice and partition by
 * `account/requestId`.
 */
export interface ClaimSegment {
  /** Lease whose expiry deletes the segment after the retry window. */
  readonly leaseId: string
  readonly claims: Readonly<Record<string, ClaimRecord>>
}
