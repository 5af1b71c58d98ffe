import { StoreHistoryLostError } from '../../../shared/storeHistoryLostError.js'
import { waitForDelay } from '../../../shared/waitForDelay.js'
import { storeConstants } from './constants.js'
import type { Logger } from '../../../types/logger.js'
import type { Random } from '../../../types/random.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreItem } from '../model/storeItem.js'

interface WatcherOptions {
  readonly store: StoreClient
  readonly prefix: string
  readonly logger: Logger
  readonly random: Random
  /** Wait of a watch without changes. */
  readonly watchWaitMs: number
  /** Least time between two watches; 0 to see each change at once. */
  readonly coalesceMs: number
  /** All items; `isAfterGap` when changes may have been missed before. */
  readonly onSnapshot: (items: readonly StoreItem[], isAfterGap: boolean) => void
  readonly onChange: (change: StoreChange) => void
}

/**
 * Follows the items below a prefix: a whole read, then watches. After a broken or silent watch, or lost history,
 * it reads again, because a watch may have missed changes.
 */
export class PrefixWatcher {
  private readonly stopped = new AbortController()
  private hasRead = false
  private isConnected = false

  constructor (private readonly options: WatcherOptions) {}

  /** Follows until `stop`. */
  async run (): Promise<void> {
    const { signal } = this.stopped
    let retryMs: number = storeConstants.retryMs
    while (!signal.aborted) {
      try {
        let revision = await this.readAll()
        retryMs = storeConstants.retryMs
        while (!signal.aborted) revision = await this.watchOnce(revision)
      } catch (error) {
        if (signal.aborted) return
        if (!(error instanceof StoreHistoryLostError)) {
          this.recordLost(error)
          await waitForDelay(retryMs * (0.5 + this.options.random()), signal)
          retryMs = Math.min(retryMs * 2, storeConstants.maxRetryMs)
        } else this.options.logger.recordInfo('store history lost', { prefix: this.options.prefix, reason: error.message })
      }
    }
  }

  stop (): void {
    this.stopped.abort()
  }

  private async readAll (): Promise<number> {
    const { store, prefix, onSnapshot } = this.options
    const { items, revision } = await store.readPrefix(prefix)
    this.recordRegained(revision)
    onSnapshot(items, this.hasRead)
    this.hasRead = true
    return revision
  }

  private async watchOnce (revision: number): Promise<number> {
    const { store, prefix, watchWaitMs: watchMs, coalesceMs: gatherMs, onChange } = this.options
    const answer = await store.watchPrefix(prefix, revision, watchMs, this.stopped.signal)
    for (const change of answer.changes) onChange(change)
    if (answer.changes.length > 0 && gatherMs > 0) await waitForDelay(gatherMs, this.stopped.signal)
    return Math.max(answer.revision, revision)
  }

  private recordLost (error: unknown): void {
    if (this.isConnected) this.options.logger.recordWarning('store lost', { prefix: this.options.prefix, reason: (error as Error).message })
    this.isConnected = false
  }

  private recordRegained (revision: number): void {
    if (!this.isConnected) this.options.logger.recordInfo('store regained', { prefix: this.options.prefix, revision })
    this.isConnected = true
  }
}
