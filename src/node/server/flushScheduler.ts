import { serverConstants } from './constants.js'

interface ScheduledStream {
  writePending (): void
  sendKeepalive (nowMs: number): void
}

/** Batches the writes of all streams: one timer serves every stream that has something to send. */
export class FlushScheduler {
  private pending: ScheduledStream[] = []
  private readonly streams = new Set<ScheduledStream>()
  private writeTimer: NodeJS.Timeout | undefined
  private keepaliveTimer: NodeJS.Timeout | undefined

  constructor (private readonly coalesceMs: number = serverConstants.coalesceMs, private readonly keepaliveIntervalMs: number = serverConstants.streamKeepaliveIntervalMs) {}

  /** Schedules a write. Must not be called again for a stream before its `writePending` was called. */
  schedule (stream: ScheduledStream): void {
    this.pending.push(stream)
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined
      const streams = this.pending
      this.pending = []
      for (const stream of streams) stream.writePending()
    }, this.coalesceMs)
  }

  add (stream: ScheduledStream): void {
    this.streams.add(stream)
    this.keepaliveTimer ??= setInterval(() => {
      const nowMs = performance.now()
      for (const openStream of this.streams) openStream.sendKeepalive(nowMs)
    }, this.keepaliveIntervalMs / 2).unref()
  }

  remove (stream: ScheduledStream): void {
    this.streams.delete(stream)
    if (this.streams.size > 0) return
    clearInterval(this.keepaliveTimer)
    this.keepaliveTimer = undefined
  }
}
