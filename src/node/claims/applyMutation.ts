import type { ClaimRecord } from './claimRecord.js'
import type { SegmentMutation } from './segmentMutation.js'

/** The record to store in place of `stored`; `stored` itself when nothing has to change. */
export function applyMutation (stored: ClaimRecord | undefined, mutation: SegmentMutation): ClaimRecord | undefined {
  if (mutation.type === 'claim') return stored ?? mutation.record
  if (stored?.nonce !== mutation.nonce || stored.outcome !== undefined) return stored
  return { ...stored, outcome: mutation.outcome }
}
