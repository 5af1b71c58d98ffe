import { decideHeapFull } from './decideHeapFull.js'
import { memoryConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'

interface GuardOptions {
  readonly heapLimitBytes: number
  /** Reads the heap in use, with garbage, in bytes. */
  readonly readHeapBytes: () => number
  /** Collects garbage; undefined when the runtime does not offer it (`--expose-gc`). */
  readonly collectGarbage: (() => void) | undefined
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Admits nothing that takes heap while the heap is nearly full: the runtime ends a process whose heap is full. */
export class HeapGuard {
  private isFull = false
  private nextCollectionAtMs = -Infinity

  constructor (private readonly options: GuardOptions) {}

  /** Whether requests may take heap now. Garbage is collected before they are refused for it. */
  admit (): boolean {
    const { heapLimitBytes, readHeapBytes, logger, metrics } = this.options
    const wasFull = this.isFull
    let heapBytes = readHeapBytes()
    this.isFull = decideHeapFull({ heapBytes, heapLimitBytes, wasFull })
    if (this.isFull && this.releaseGarbage()) {
      heapBytes = readHeapBytes()
      this.isFull = decideHeapFull({ heapBytes, heapLimitBytes, wasFull })
    }
    if (this.isFull !== wasFull) {
      metrics.addCount('heap_full_changes', { full: String(this.isFull) })
      logger.recordWarning('heap nearly full', { isFull: this.isFull, heapBytes, heapLimitBytes })
    }
    return !this.isFull
  }

  /** Collects garbage, which stops the process, for a bounded share of the time; returns whether it did. */
  private releaseGarbage (): boolean {
    const { collectGarbage, clock } = this.options
    const startMs = clock.readMonotonicMs()
    if (collectGarbage === undefined || startMs < this.nextCollectionAtMs) return false
    collectGarbage()
    const endMs = clock.readMonotonicMs()
    const { collectShare, minCollectIntervalMs } = memoryConstants
    this.nextCollectionAtMs = endMs + Math.max((endMs - startMs) / collectShare, minCollectIntervalMs)
    return true
  }
}
