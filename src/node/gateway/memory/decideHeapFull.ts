import { memoryConstants } from './constants.js'

interface HeapState {
  readonly heapBytes: number
  readonly heapLimitBytes: number
  /** The decision before this one. */
  readonly wasFull: boolean
}

/** Decides whether the heap is too full for further requests; it has to fall well below the bound to take them again. */
export function decideHeapFull ({ heapBytes, heapLimitBytes, wasFull }: HeapState): boolean {
  const { heapFullShare, heapResumeShare } = memoryConstants
  return heapBytes > heapLimitBytes * (wasFull ? heapResumeShare : heapFullShare)
}
