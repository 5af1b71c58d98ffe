import { serverConstants } from './constants.js'

interface ScheduledStream {
  writePending (): void
  sendKeepalive (nowMs: number): void
}

/** Merges the writes of all streams: one timer serves every stream that has something to send. */
export class FlushScheduler {
  private pending: ScheduledStream[] = []
  private readonly streams = new Set<ScheduledStream>()
  private writeTimer: NodeJS.Timeout | undefined
  private keepaliveTimer: NodeJS.Timeout | undefined

  constructor (private readonly coalesceMs: number = serverConstants.coalesceMs, private readonly keepaliveIntervalMs: number = serverConstants.streamKeepaliveIntervalMs) {}

  /** Must be called at most once until the stream's `writePending` was called. */
  schedule (stream: ScheduledStream): void {
    this.pending.push(stream)
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined
      const streams = this.pending
      this.pending = []
      for (const due of streams) due.writePending()
    }, this.coalesceMs)
  }

  add (stream: ScheduledStream): void {
    this.streams.add(stream)
    this.keepaliveTimer ??= setInterval(() => {
      const nowMs = performance.now()
      for (const open of this.streams) open.sendKeepalive(nowMs)
    }, this.keepaliveIntervalMs / 2).unref()
  }

  remove (stream: ScheduledStream): void {
    this.streams.delete(stream)
    if (this.streams.size > 0) return
    clearInterval(this.keepaliveTimer)
    this.keepaliveTimer = undefined
  }
}
