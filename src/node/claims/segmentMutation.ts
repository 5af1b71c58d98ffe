import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { ClaimRecord } from './claimRecord.js'

/**
 * A change of one claim in a segment. Applying it a second time changes nothing, so that it can be repeated
 * after a write whose answer was lost.
 */
export type SegmentMutation =
  | { readonly type: 'claim', readonly claimKey: string, readonly record: ClaimRecord }
  | { readonly type: 'outcome', readonly claimKey: string, readonly nonce: string, readonly outcome: ClaimOutcome }
