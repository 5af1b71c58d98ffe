import type { MemoryUsage } from './memoryUsage.js'

/** Reads the memory of this process. */
export function readMemoryUsage (): MemoryUsage {
  const { rss, heapUsed, external } = process.memoryUsage()
  return { residentBytes: rss, heapBytes: heapUsed, externalBytes: external }
}
