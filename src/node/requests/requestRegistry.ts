import { buildRequestKey } from './buildRequestKey.js'
import { requestConstants } from './constants.js'
import { ExpiryQueue } from './expiryQueue.js'
import type { RequestEntry } from './requestEntry.js'

/** The requests on this host: running ones, and finished ones for the retention time and within the byte limit. */
export class RequestRegistry {
  private readonly entries = new Map<string, RequestEntry>()
  private readonly finished = new Set<RequestEntry>()
  private readonly expiryQueue = new ExpiryQueue<RequestEntry>()
  private readonly idleListeners = new Set<() => void>()
  private finishedBytes = 0

  constructor (
    private readonly retentionMs: number = requestConstants.finishedRetentionMs,
    private readonly retentionBytes: number = requestConstants.finishedRetentionBytes
  ) {}

  get runningCount (): number {
    return this.entries.size - this.finished.size
  }

  add (entry: RequestEntry): void {
    const key = buildRequestKey(entry.identity.account, entry.identity.requestId)
    this.removeKey(key)
    this.entries.set(key, entry)
  }

  find (account: string, requestId: string): RequestEntry | undefined {
    return this.entries.get(buildRequestKey(account, requestId))
  }

  list (): readonly RequestEntry[] {
    return [...this.entries.values()]
  }

  /** Must be called when the answer of a kept entry has ended; starts its retention time. */
  onFinished (entry: RequestEntry, nowMs: number): void {
    const key = buildRequestKey(entry.identity.account, entry.identity.requestId)
    if (this.entries.get(key) !== entry || this.finished.has(entry)) return
    this.finished.add(entry)
    this.expiryQueue.add(entry, nowMs)
    this.finishedBytes += entry.log.bytes + requestConstants.entryOverheadBytes
    this.removeExpired(nowMs)
    this.reportIdle()
  }

  remove (entry: RequestEntry): void {
    const key = buildRequestKey(entry.identity.account, entry.identity.requestId)
    if (this.entries.get(key) === entry) this.removeKey(key)
    this.reportIdle()
  }

  /** Removes finished answers beyond the retention time or, oldest first, beyond the byte limit. */
  removeExpired (nowMs: number): void {
    for (let oldest = this.expiryQueue.findOldest(); oldest !== undefined; oldest = this.expiryQueue.findOldest()) {
      if (nowMs - oldest.addedAtMs < this.retentionMs && this.finishedBytes <= this.retentionBytes) return
      this.expiryQueue.removeOldest()
      this.remove(oldest.value)
    }
  }

  /** Resolves when no request is running. */
  async waitIdle (): Promise<void> {
    if (this.runningCount === 0) return
    await new Promise<void>(resolve => this.idleListeners.add(resolve))
  }

  private removeKey (key: string): void {
    const entry = this.entries.get(key)
    if (entry === undefined) return
    if (this.finished.delete(entry)) this.finishedBytes -= entry.log.bytes + requestConstants.entryOverheadBytes
    this.entries.delete(key)
  }

  private reportIdle (): void {
    if (this.runningCount > 0) return
    for (const listener of this.idleListeners) listener()
    this.idleListeners.clear()
  }
}
