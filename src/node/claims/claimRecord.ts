import type { ClaimOutcome } from '../../types/claimOutcome.js'

/** A claim as stored in its segment. Its holder never changes. */
export interface ClaimRecord {
  readonly account: string
  readonly requestId: string
  readonly bodyHash: string
  readonly hostId: string
  /** Unique per claim attempt. A writer whose write response was lost recognizes its own claim by it. */
  readonly nonce: string
  /** Undefined while the call may still be running. */
  readonly outcome?: ClaimOutcome
}
