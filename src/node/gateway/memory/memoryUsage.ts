/** Memory of a process, in bytes. */
export interface MemoryUsage {
  readonly residentBytes: number
  readonly heapBytes: number
  /** Buffers and other memory outside the heap. */
  readonly externalBytes: number
}
