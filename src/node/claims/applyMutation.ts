import type { ClaimRecord } from './claimRecord.js'
import type { SegmentMutation } from './segmentMutation.js'

/** Returns the record that replaces `stored`, or `stored` itself when the mutation changes nothing. */
export function applyMutation (stored: ClaimRecord | undefined, mutation: SegmentMutation): ClaimRecord | undefined {
  if (mutation.type === 'claim') return stored ?? mutation.record
  if (stored?.nonce !== mutation.nonce || stored.outcome !== undefined) return stored
  return { ...stored, outcome: mutation.outcome }
}
