import { memoryConstants } from './constants.js'

interface MemoryState {
  readonly limitBytes: number
  /** Bytes that all groups hold. */
  readonly heldBytes: number
  /** Bytes that the asking group holds. */
  readonly groupBytes: number
}

/**
 * Decides whether a group may hold more. Its share shrinks with what is left (dynamic thresholds of shared buffers), so
 * that a group that takes all it gets leaves a third of the memory to the others, and several leave some as well.
 */
export function admitBytes ({ limitBytes, heldBytes, groupBytes }: MemoryState, bytes: number): boolean {
  const freeBytes = limitBytes - heldBytes - bytes
  return groupBytes + bytes <= freeBytes * memoryConstants.freeMultiple
}
