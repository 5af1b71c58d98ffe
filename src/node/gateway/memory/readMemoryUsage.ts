import { MemoryUnreadableError } from './memoryUnreadableError.js'
import type { MemoryUsage } from './memoryUsage.js'

/** Reads the memory of this process. Throws `MemoryUnreadableError`, because the read takes a file descriptor. */
export function readMemoryUsage (): MemoryUsage {
  try {
    const { rss, heapUsed, external } = process.memoryUsage()
    return { residentBytes: rss, heapBytes: heapUsed, externalBytes: external }
  } catch (error) {
    throw new MemoryUnreadableError((error as Error).message, { cause: error })
  }
}
