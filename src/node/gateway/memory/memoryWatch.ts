import { memoryConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { MemoryUsage } from './memoryUsage.js'
import type { Metrics } from '../../../types/metrics.js'

interface WatchOptions {
  /** Memory of the machine. */
  readonly memoryBytes: number
  /** Heap limit of the process. */
  readonly heapLimitBytes: number
  readonly readUsage: () => MemoryUsage
  /** Bytes that are held within bounds of their own, by what holds them. */
  readonly countHeldBytes: () => Readonly<Record<string, number>>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Logs when the process comes near its memory limits: one that is ended for its memory leaves no line of its own. */
export class MemoryWatch {
  private timer: NodeJS.Timeout | undefined
  private loggedAtMs = -Infinity

  constructor (private readonly options: WatchOptions) {}

  start (): void {
    this.timer = setInterval(() => { this.checkUsage() }, memoryConstants.watchIntervalMs)
    this.timer.unref()
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Updates the metrics, and logs the usage when it is near a limit. */
  checkUsage (): void {
    const { memoryBytes, heapLimitBytes, clock, logger, metrics } = this.options
    const usage = this.options.readUsage()
    metrics.setGauge('heap_bytes', {}, usage.heapBytes)
    metrics.setGauge('external_memory_bytes', {}, usage.externalBytes)
    const heldBytes = this.options.countHeldBytes()
    for (const [of, bytes] of Object.entries(heldBytes)) metrics.setGauge('held_memory_bytes', { of }, bytes)
    const share = Math.max(usage.residentBytes / memoryBytes, usage.heapBytes / heapLimitBytes)
    const nowMs = clock.readMonotonicMs()
    const { warningShare, logIntervalMs } = memoryConstants
    if (share < warningShare || nowMs - this.loggedAtMs < logIntervalMs) return
    this.loggedAtMs = nowMs
    logger.recordWarning('memory nearly used up', { ...usage, memoryBytes, heapLimitBytes, ...heldBytes })
  }
}
