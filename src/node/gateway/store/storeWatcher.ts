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
  /** Long-poll wait of a watch. */
  readonly watchWaitMs: number
  /** Pause after a watch that returned changes; 0 to see each change at once. */
  readonly coalesceMs: number
  /** Receives all items; `isAfterGap` is true when changes may have been missed before. */
  readonly onSnapshot: (items: readonly StoreItem[], isAfterGap: boolean) => void
  readonly onChange: (change: StoreChange) => void
}

/**
 * Watches the items below a prefix: reads all of them, then long-polls for changes. After a watch that failed or timed
 * out, or when the store no longer holds the changes, it reads all items again, because changes may have been missed.
 */
export class PrefixWatcher {
  private readonly stopController = new AbortController()
  private hasSnapshot = false
  private isConnected = false

  constructor (private readonly options: WatcherOptions) {}

  /** Watches until `stop` is called. */
  async run (): Promise<void> {
    const { signal } = this.stopController
    let retryMs: number = storeConstants.retryMs
    while (!signal.aborted) {
      try {
        let revision = await this.readAll()
        retryMs = storeConstants.retryMs
        while (!signal.aborted) revision = await this.watchOnce(revision)
      } catch (error) {
        if (signal.aborted) return
        if (!(error instanceof StoreHistoryLostError)) {
          this.recordDisconnected(error)
          await waitForDelay(retryMs * (0.5 + this.options.random()), signal)
          retryMs = Math.min(retryMs * 2, storeConstants.maxRetryMs)
        } else this.options.logger.recordInfo('store history lost', { prefix: this.options.prefix, reason: error.message })
      }
    }
  }

  stop (): void {
    this.stopController.abort()
  }

  private async readAll (): Promise<number> {
    const { store, prefix, onSnapshot } = this.options
    const { items, revision } = await store.readPrefix(prefix)
    this.recordConnected(revision)
    onSnapshot(items, this.hasSnapshot)
    this.hasSnapshot = true
    return revision
  }

  private async watchOnce (revision: number): Promise<number> {
    const { store, prefix, watchWaitMs, coalesceMs, onChange } = this.options
    const result = await store.watchPrefix(prefix, revision, watchWaitMs, this.stopController.signal)
    for (const change of result.changes) onChange(change)
    if (result.changes.length > 0 && coalesceMs > 0) await waitForDelay(coalesceMs, this.stopController.signal)
    return Math.max(result.revision, revision)
  }

  private recordDisconnected (error: unknown): void {
    if (this.isConnected) this.options.logger.recordWarning('store lost', { prefix: this.options.prefix, reason: (error as Error).message })
    this.isConnected = false
  }

  private recordConnected (revision: number): void {
    if (!this.isConnected) this.options.logger.recordInfo('store regained', { prefix: this.options.prefix, revision })
    this.isConnected = true
  }
}
