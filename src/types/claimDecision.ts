import type { ClaimOutcome } from './claimOutcome.js'
import type { ExecutionState } from './executionState.js'

/**
 * Result of claiming the single execution of a call. Only the holder of a `held` claim may send the call.
 */
export type ClaimDecision =
  | {
    readonly kind: 'held'
    /** Whether the call may still be sent; must be checked right before the first byte is sent. */
    isFresh (): boolean
    /** Stores the outcome; rejects with a `LycheetrackError` if it could not be stored in time. */
    recordOutcome (outcome: ClaimOutcome): Promise<void>
  }
  | { readonly kind: 'recorded', readonly outcome: ClaimOutcome }
  | { readonly kind: 'pending', readonly holderId: string }
  | { readonly kind: 'refused', readonly code: string, readonly message: string, readonly ran: ExecutionState }
