import { StoreHistoryLostError } from '../../../shared/storeHistoryLostError.js'
import { waitForDelay } from '../../../shared/waitForDelay.js'
import { storeConstants } from './constants.js'
import type { Logger } from '../../../types/logger.js'
import type { Random } from '../../../types/random.js'
import type { SnapshotCause } from './snapshotCause.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreEra } from './storeEra.js'
import type { StorePosition } from '../model/storePosition.js'
import type { StoreSection } from './storeSection.js'
import type { WatchTimes } from './watchTimes.js'

/** Prefix of all keys. */
const wholeStore = ''

interface WatcherOptions {
  readonly store: StoreClient
  readonly storeEra: StoreEra
  readonly logger: Logger
  readonly random: Random
  readonly getTimes: () => WatchTimes
  /** The parts of the store that the host follows; other keys are ignored. */
  readonly sections: readonly StoreSection[]
}

/**
 * Follows the whole store with one watch, because calls are charged for: reads all items, then long-polls for changes and
 * passes them to the sections. After a watch that failed or timed out, or when the store no longer holds the changes or
 * was restored, it reads all items again, because changes may have been missed.
 */
export class StoreWatcher {
  private readonly stopController = new AbortController()
  /** Position of the last complete read; undefined before the first one. */
  private lastRead: StorePosition | undefined
  private isConnected = false

  constructor (private readonly options: WatcherOptions) {}

  /** Watches until `stop` is called. */
  async run (): Promise<void> {
    const { signal } = this.stopController
    let retryMs: number = storeConstants.retryMs
    while (!signal.aborted) {
      try {
        let position = await this.readAll()
        retryMs = storeConstants.retryMs
        while (!signal.aborted) position = await this.watchOnce(position)
      } catch (error) {
        if (signal.aborted) return
        if (!(error instanceof StoreHistoryLostError)) {
          this.recordDisconnected(error)
          await waitForDelay(retryMs * (0.5 + this.options.random()), signal)
          retryMs = Math.min(retryMs * 2, this.options.getTimes().maxRetryMs)
          continue
        }
        this.options.logger.recordInfo('store history lost', { reason: error.message })
        // All hosts read the store again at the same time.
        await waitForDelay(storeConstants.rereadSpreadMs * this.options.random(), signal)
      }
    }
  }

  stop (): void {
    this.stopController.abort()
  }

  private async readAll (): Promise<StorePosition> {
    const { items, position } = await this.options.store.readPrefix(wholeStore)
    this.recordConnected(position)
    const cause = findSnapshotCause(this.lastRead, position)
    for (const section of this.options.sections) {
      section.onSnapshot(items.filter(item => item.key.startsWith(section.prefix)), cause)
    }
    this.lastRead = position
    return position
  }

  private async watchOnce (after: StorePosition): Promise<StorePosition> {
    const { getTimes, sections } = this.options
    const { waitMs, coalesceMs } = getTimes()
    const result = await this.watchEra(after, waitMs)
    for (const change of result.changes) {
      const key = change.type === 'written' ? change.item.key : change.key
      sections.find(section => key.startsWith(section.prefix))?.onChange(change)
    }
    if (result.changes.length > 0) await waitForDelay(coalesceMs, this.stopController.signal)
    return { era: after.era, revision: Math.max(result.position.revision, after.revision) }
  }

  /** Watches until the first change, or until an answer to another call shows that the store was restored. */
  private async watchEra (after: StorePosition, waitMs: number): ReturnType<StoreClient['watchPrefix']> {
    const { store, storeEra } = this.options
    const checkEra = (): void => {
      const era = storeEra.getCurrent()
      if (era !== after.era) throw new StoreHistoryLostError(`era ${era} follows era ${after.era}`)
    }
    const controller = new AbortController()
    const removeListener = storeEra.addListener(() => { controller.abort() })
    try {
      checkEra()
      const signal = AbortSignal.any([this.stopController.signal, controller.signal])
      return await store.watchPrefix(wholeStore, after, waitMs, signal)
    } catch (error) {
      checkEra()
      throw error
    } finally {
      removeListener()
    }
  }

  private recordDisconnected (error: unknown): void {
    if (this.isConnected) this.options.logger.recordWarning('store lost', { reason: (error as Error).message })
    this.isConnected = false
  }

  private recordConnected ({ era, revision }: StorePosition): void {
    if (!this.isConnected) this.options.logger.recordInfo('store regained', { era, revision })
    this.isConnected = true
  }
}

function findSnapshotCause (lastRead: StorePosition | undefined, position: StorePosition): SnapshotCause {
  if (lastRead === undefined) return 'start'
  return position.era === lastRead.era ? 'gap' : 'restore'
}
