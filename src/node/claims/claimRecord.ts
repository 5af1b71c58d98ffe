import type { ClaimOutcome } from '../../types/claimOutcome.js'

/** One claim as stored in its segment. It never changes its holder. */
export interface ClaimRecord {
  readonly account: string
  readonly requestId: string
  readonly bodyHash: string
  readonly hostId: string
  /** Unique per claim attempt; tells a writer whose answer was lost that the claim is its own. */
  readonly nonce: string
  /** Absent while the call may be running. */
  readonly outcome?: ClaimOutcome
}
