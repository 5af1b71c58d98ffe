import { serverConstants } from './constants.js'

interface Flushable {
  writeDue (): void
  sendKeepalive (nowMs: number): void
}

/** Merges the writes of all streams: one timer serves every stream that has something to send. */
export class FlushScheduler {
  private due: Flushable[] = []
  private readonly streams = new Set<Flushable>()
  private timer: NodeJS.Timeout | undefined
  private keepaliveTimer: NodeJS.Timeout | undefined

  constructor (private readonly mergeMs: number = serverConstants.mergeMs, private readonly keepaliveMs: number = serverConstants.keepaliveMs) {}

  /** Must be called at most once until the stream's `writeDue` was called. */
  schedule (stream: Flushable): void {
    this.due.push(stream)
    this.timer ??= setTimeout(() => {
      this.timer = undefined
      const streams = this.due
      this.due = []
      for (const due of streams) due.writeDue()
    }, this.mergeMs)
  }

  add (stream: Flushable): void {
    this.streams.add(stream)
    this.keepaliveTimer ??= setInterval(() => {
      const nowMs = performance.now()
      for (const open of this.streams) open.sendKeepalive(nowMs)
    }, this.keepaliveMs / 2).unref()
  }

  remove (stream: Flushable): void {
    this.streams.delete(stream)
    if (this.streams.size > 0) return
    clearInterval(this.keepaliveTimer)
    this.keepaliveTimer = undefined
  }
}
