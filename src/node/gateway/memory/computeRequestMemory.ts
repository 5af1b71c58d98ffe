import { memoryConstants } from './constants.js'
import type { RequestMemoryLimits } from './requestMemoryLimits.js'

/** Computes the limits from the memory of the machine and the heap limit of the process, in bytes. */
export function computeRequestMemory (memoryBytes: number, heapLimitBytes: number): RequestMemoryLimits {
  const { processBytes, bodyShare, minBodyBytes, heapShare, headShare } = memoryConstants
  return {
    bodyBytes: Math.max(Math.floor((memoryBytes - processBytes) * bodyShare), minBodyBytes),
    headBytes: Math.floor(Math.min(heapLimitBytes * heapShare, memoryBytes * headShare))
  }
}
