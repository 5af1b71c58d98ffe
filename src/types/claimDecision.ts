import type { ClaimOutcome } from './claimOutcome.js'
import type { RanState } from './ranState.js'

/** What a host may do with a call that runs at most once. Only the holder of a fresh claim may send it. */
export type ClaimDecision =
  | {
    readonly kind: 'held'
    /** Must hold right before the first byte is sent. */
    isFresh (): boolean
    /** Must be called once, also when the call was not sent. */
    recordOutcome (outcome: ClaimOutcome): Promise<void>
  }
  | { readonly kind: 'recorded', readonly outcome: ClaimOutcome }
  | { readonly kind: 'pending', readonly holderId: string }
  | { readonly kind: 'refused', readonly code: string, readonly message: string, readonly ran: RanState }
