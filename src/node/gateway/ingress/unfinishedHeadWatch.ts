import { memoryConstants } from '../memory/constants.js'
import type { ClientConnection } from './clientConnection.js'
import type { Clock } from '../../../types/clock.js'
import type { HeapGuard } from '../memory/heapGuard.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'

interface WatchOptions {
  readonly connections: ReadonlyMap<unknown, ClientConnection>
  readonly heap: Pick<HeapGuard, 'admit'>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Closes connections that hold much of a head while the heap is nearly full: heads that come in are in no bound of
 * requests, and outsiders may hold as many as they have connections.
 */
export class UnfinishedHeadWatch {
  private timer: NodeJS.Timeout | undefined
  private checkedAtMs = -Infinity

  constructor (private readonly options: WatchOptions) {}

  /** Watches for as long as there are many connections. */
  onConnection (): void {
    if (!this.isNeeded()) return
    this.timer ??= setInterval(() => {
      if (this.isNeeded()) return this.closeUnfinishedHeads()
      clearInterval(this.timer)
      this.timer = undefined
    }, memoryConstants.unfinishedHeadCheckMs).unref()
    // The timer is late while the event loop is busy with the connections of a flood.
    this.closeUnfinishedHeads()
  }

  private isNeeded (): boolean {
    return this.options.connections.size > memoryConstants.minWatchedConnections
  }

  private closeUnfinishedHeads (): void {
    const { connections, heap, clock, logger, metrics } = this.options
    const nowMs = clock.readMonotonicMs()
    if (nowMs - this.checkedAtMs < memoryConstants.unfinishedHeadCheckMs / 2) return
    this.checkedAtMs = nowMs
    if (heap.admit()) return
    let count = 0
    for (const connection of connections.values()) {
      if (connection.closeUnfinishedHead(memoryConstants.maxUnfinishedHeadBytes)) count++
    }
    if (count === 0) return
    metrics.addCount('unfinished_heads_closed', {}, count)
    logger.recordWarning('unfinished heads closed', { count, connections: connections.size })
  }
}
