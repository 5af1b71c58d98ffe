import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { ClaimRecord } from './claimRecord.js'

/**
 * A change to one claim in a segment. Mutations are idempotent, so that they can be retried after a write whose
 * response was lost.
 */
export type SegmentMutation =
  | { readonly type: 'claim', readonly claimKey: string, readonly record: ClaimRecord }
  | { readonly type: 'outcome', readonly claimKey: string, readonly nonce: string, readonly outcome: ClaimOutcome }
