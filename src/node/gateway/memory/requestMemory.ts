import { HeadHolders } from './headHolders.js'
import { memoryConstants } from './constants.js'
import { SharedMemory } from './sharedMemory.js'
import type { Clock } from '../../../types/clock.js'
import type { HeapGuard } from './heapGuard.js'
import type { HeldRequest } from './heldRequest.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { RequestMemoryLimits } from './requestMemoryLimits.js'

interface MemoryOptions {
  readonly limits: RequestMemoryLimits
  readonly heap: Pick<HeapGuard, 'admit'>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Bounds the memory that all requests of a host take together, from their head to their end: bodies, which are buffers,
 * and heads, which are strings on the heap.
 */
export class RequestMemory {
  private readonly bodies: SharedMemory
  private readonly heads: SharedMemory
  /** The connections with heads of each group. */
  private readonly holders = new Map<string, HeadHolders>()
  private loggedAtMs = -Infinity

  constructor (private readonly options: MemoryOptions) {
    this.bodies = new SharedMemory(options.limits.bodyBytes)
    this.heads = new SharedMemory(options.limits.headBytes)
  }

  /** Bytes that requests hold now, and the most that they have held. */
  countBytes (): Readonly<Record<'requestBodies' | 'requestBodiesPeak' | 'requestHeads' | 'requestHeadsPeak', number>> {
    return {
      requestBodies: this.bodies.heldBytes,
      requestBodiesPeak: this.bodies.peakBytes,
      requestHeads: this.heads.heldBytes,
      requestHeadsPeak: this.heads.peakBytes
    }
  }

  /**
   * Takes heap for the head of a request (`computeHeadMemory`); undefined when its group may not hold it, or the heap is
   * nearly full. Waiting requests of the connection of the group that holds the most give way to it.
   */
  admit (group: string, headBytes: number, connection: object): HeldRequest | undefined {
    if (!this.options.heap.admit() || !this.admitHead(group, headBytes, connection)) {
      this.recordRefusal('heads', this.heads, group, headBytes)
      return undefined
    }
    const holders = this.holders.get(group) ?? new HeadHolders()
    this.holders.set(group, holders)
    holders.add(connection, headBytes)
    let bodyBytes = 0
    let isReleased = false
    const releaseBody = (): void => {
      this.bodies.release(group, bodyBytes)
      bodyBytes = 0
    }
    const release = (): void => {
      if (isReleased) return
      isReleased = true
      this.heads.release(group, headBytes)
      holders.remove(connection, headBytes)
      if (holders.isEmpty) this.holders.delete(group)
      releaseBody()
    }
    return {
      admitBody: bytes => {
        if (isReleased) return false
        if (!this.bodies.admit(group, bytes)) {
          this.recordRefusal('bodies', this.bodies, group, bytes)
          return false
        }
        bodyBytes += bytes
        return true
      },
      releaseBody,
      allowEviction: onEvicted => {
        if (isReleased) return () => {}
        const remove = holders.addEvictable(connection, headBytes, () => {
          remove()
          release()
          onEvicted()
        })
        return remove
      },
      release
    }
  }

  private admitHead (group: string, headBytes: number, connection: object): boolean {
    if (this.heads.admit(group, headBytes)) return true
    const count = this.holders.get(group)?.evictMost(connection, headBytes) ?? 0
    if (count === 0) return false
    const { logger, metrics } = this.options
    metrics.addCount('waiting_requests_evicted', {}, count)
    logger.recordWarning('waiting requests evicted', { group, count, heldBytes: this.heads.heldBytes })
    return this.heads.admit(group, headBytes)
  }

  private recordRefusal (part: string, memory: SharedMemory, group: string, bytes: number): void {
    const { clock, logger, metrics } = this.options
    metrics.addCount('request_memory_refusals', { part })
    const nowMs = clock.readMonotonicMs()
    if (nowMs - this.loggedAtMs < memoryConstants.logIntervalMs) return
    this.loggedAtMs = nowMs
    const { heldBytes, limitBytes } = memory
    const groupBytes = memory.countGroupBytes(group)
    logger.recordWarning('memory for requests used up', { part, group, bytes, groupBytes, heldBytes, limitBytes })
  }
}
