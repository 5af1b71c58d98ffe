import { memoryConstants } from './constants.js'

/** Computes the heap, in bytes, that the head of a request takes: its target and its alternating field names and values. */
export function computeHeadMemory (target: string, fields: readonly string[]): number {
  const { requestOverheadBytes, fieldOverheadBytes } = memoryConstants
  const textBytes = fields.reduce((sum, text) => sum + text.length, target.length)
  return textBytes + fields.length / 2 * fieldOverheadBytes + requestOverheadBytes
}
