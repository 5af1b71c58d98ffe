import { memoryConstants } from './constants.js'
import { MemoryUnreadableError } from './memoryUnreadableError.js'
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
  private isUnreadable = false

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
    const usage = this.readUsage()
    if (usage === undefined) return
    metrics.setGauge('heap_bytes', {}, usage.heapBytes)
    metrics.setGauge('external_memory_bytes', {}, usage.externalBytes)
    const heldBytes = this.options.countHeldBytes()
    for (const [of, bytes] of Object.entries(heldBytes)) metrics.setGauge('held_memory_bytes', { of }, bytes)
    const nowMs = clock.readMonotonicMs()
    const { warningShare, heapWarningShare, logIntervalMs } = memoryConstants
    const isNearLimit = usage.residentBytes >= memoryBytes * warningShare || usage.heapBytes >= heapLimitBytes * heapWarningShare
    if (!isNearLimit || nowMs - this.loggedAtMs < logIntervalMs) return
    this.loggedAtMs = nowMs
    logger.recordWarning('memory nearly used up', { ...usage, memoryBytes, heapLimitBytes, ...heldBytes })
  }

  /** Undefined while the memory cannot be read; only the first of a series of failures is logged. */
  private readUsage (): MemoryUsage | undefined {
    const { readUsage, logger } = this.options
    try {
      const usage = readUsage()
      if (this.isUnreadable) logger.recordInfo('memory readable again')
      this.isUnreadable = false
      return usage
    } catch (error) {
      if (!(error instanceof MemoryUnreadableError)) throw error
      if (!this.isUnreadable) logger.recordWarning('memory not readable', { reason: error.message })
      this.isUnreadable = true
      return undefined
    }
  }
}
