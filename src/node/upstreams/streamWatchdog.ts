import type { Clock } from '../../types/clock.js'
import { upstreamConstants } from './constants.js'

interface WatchedStream {
  checkSilence (nowMs: number): void
}

/**
 * Checks all open engine streams for silence with one timer. Resetting a timer per token would cost more than
 * relaying the token.
 */
export class StreamWatchdog {
  private readonly streams = new Set<WatchedStream>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly clock: Clock, private readonly intervalMs: number = upstreamConstants.silenceCheckIntervalMs) {}

  add (stream: WatchedStream): void {
    this.streams.add(stream)
    this.timer ??= setInterval(() => {
      const nowMs = this.clock.readMonotonicMs()
      for (const watched of this.streams) watched.checkSilence(nowMs)
    }, this.intervalMs).unref()
  }

  remove (stream: WatchedStream): void {
    this.streams.delete(stream)
    if (this.streams.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
