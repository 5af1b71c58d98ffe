import { StoreHistoryLostError } from '../../../shared/storeHistoryLostError.js'
import { waitForDelay } from '../../../shared/waitForDelay.js'
import { storeConstants } from './constants.js'
import type { Logger } from '../../../types/logger.js'
import type { Random } from '../../../types/random.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreSection } from './storeSection.js'
import type { WatchTimes } from './watchTimes.js'

/** Prefix of all keys. */
const wholeStore = ''

interface WatcherOptions {
  readonly store: StoreClient
  readonly logger: Logger
  readonly random: Random
  readonly getTimes: () => WatchTimes
  /** The parts of the store that the host follows; other keys are ignored. */
  readonly sections: readonly StoreSection[]
}

/**
 * Follows the whole store with one watch, because calls are charged for: reads all items, then long-polls for changes and
 * passes them to the sections. After a watch that failed or timed out, or when the store no longer holds the changes, it
 * reads all items again, because changes may have been missed.
 */
export class StoreWatcher {
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
        } else this.options.logger.recordInfo('store history lost', { reason: error.message })
      }
    }
  }

  stop (): void {
    this.stopController.abort()
  }

  private async readAll (): Promise<number> {
    const { items, revision } = await this.options.store.readPrefix(wholeStore)
    this.recordConnected(revision)
    for (const section of this.options.sections) {
      section.onSnapshot(items.filter(item => item.key.startsWith(section.prefix)), this.hasSnapshot)
    }
    this.hasSnapshot = true
    return revision
  }

  private async watchOnce (revision: number): Promise<number> {
    const { store, getTimes, sections } = this.options
    const { waitMs, coalesceMs } = getTimes()
    const result = await store.watchPrefix(wholeStore, revision, waitMs, this.stopController.signal)
    for (const change of result.changes) {
      const key = change.type === 'written' ? change.item.key : change.key
      sections.find(section => key.startsWith(section.prefix))?.onChange(change)
    }
    if (result.changes.length > 0) await waitForDelay(coalesceMs, this.stopController.signal)
    return Math.max(result.revision, revision)
  }

  private recordDisconnected (error: unknown): void {
    if (this.isConnected) this.options.logger.recordWarning('store lost', { reason: (error as Error).message })
    this.isConnected = false
  }

  private recordConnected (revision: number): void {
    if (!this.isConnected) this.options.logger.recordInfo('store regained', { revision })
    this.isConnected = true
  }
}
