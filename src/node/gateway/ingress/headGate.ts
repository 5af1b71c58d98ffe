import { memoryConstants } from '../memory/constants.js'
import type { Clock } from '../../../types/clock.js'
import type { GatedConnection } from './gatedConnection.js'
import type { HeapGuard } from '../memory/heapGuard.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'

interface GateOptions {
  /** The open connections of a server. */
  readonly connections: ReadonlyMap<unknown, GatedConnection>
  /** Largest head that a connection may send, in bytes. */
  readonly getMaxHeadBytes: () => number
  readonly heap: Pick<HeapGuard, 'admit'>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Keeps heads that come in from the HTTP parser while the heap is nearly full. They are in no bound of requests, and
 * one turn of the event loop may read as many of them as there are connections, so each read is checked before it is
 * parsed.
 */
export class HeadGate {
  private timer: NodeJS.Timeout | undefined
  private loggedAtMs = -Infinity
  private refusedCount = 0

  constructor (private readonly options: GateOptions) {}

  /** Checks what the open connections send, from the time at which there are enough of them to fill the heap. */
  onConnection (connection: GatedConnection): void {
    if (!this.isNeeded()) return
    if (this.timer !== undefined) return connection.setInputGate(this.admit)
    for (const open of this.options.connections.values()) open.setInputGate(this.admit)
    this.timer = setInterval(() => {
      if (this.isNeeded()) return this.refuseUnfinishedHeads()
      clearInterval(this.timer)
      this.timer = undefined
    }, memoryConstants.unfinishedHeadCheckMs).unref()
  }

  private isNeeded (): boolean {
    const { connections, getMaxHeadBytes } = this.options
    return connections.size * getMaxHeadBytes() > memoryConstants.minGatedBytes
  }

  private readonly admit = (): boolean => {
    const isAdmitted = this.options.heap.admit()
    if (!isAdmitted) this.recordRefusals(1)
    return isAdmitted
  }

  /** Closes connections that hold much of a head, so that the heap has room again. */
  private refuseUnfinishedHeads (): void {
    const { connections, heap } = this.options
    if (heap.admit()) return
    let count = 0
    for (const connection of connections.values()) {
      if (connection.closeUnfinishedHead()) count++
    }
    if (count > 0) this.recordRefusals(count)
  }

  private recordRefusals (count: number): void {
    const { connections, clock, logger, metrics } = this.options
    metrics.addCount('unfinished_heads_closed', {}, count)
    this.refusedCount += count
    const nowMs = clock.readMonotonicMs()
    if (nowMs - this.loggedAtMs < memoryConstants.logIntervalMs) return
    this.loggedAtMs = nowMs
    logger.recordWarning('unfinished heads closed', { count: this.refusedCount, connections: connections.size })
    this.refusedCount = 0
  }
}
