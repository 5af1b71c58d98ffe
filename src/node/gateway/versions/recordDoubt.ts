import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreEra } from '../store/storeEra.js'
import type { StoreWrite } from '../model/storeWrite.js'
import type { StreamRecordIndex } from './streamRecordIndex.js'

interface DoubtOptions {
  readonly store: StoreClient
  readonly storeEra: StoreEra
  readonly index: StreamRecordIndex
  /** Prefix of the keys that name the eras whose records are complete. */
  readonly prefix: string
  readonly countHosts: () => number
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Tells whether a stream without a record may have had one that a restore of the store has lost, together with the host
 * that wrote it. This is so in each new era of the store until no stream from before it can be resumed any more. A host
 * that starts in that time has not seen the restore: it sees that the store names only earlier eras as complete.
 */
export class RecordDoubt {
  /** The era in which records may be lost, and the time at which this host learned of it. */
  private doubt: { readonly era: number, readonly sinceMs: number } | undefined
  /** The era in which all records were last read. */
  private readEra = 0

  constructor (private readonly options: DoubtOptions) {}

  /** The store has turned out to be restored. */
  onRestored (): void {
    const { storeEra, clock, metrics } = this.options
    this.doubt = { era: storeEra.getCurrent(), sinceMs: clock.readMonotonicMs() }
    metrics.setGauge('stream_records_in_doubt', {}, 1)
  }

  /** All records of the current era have been read. */
  onRead (): void {
    this.readEra = this.options.storeEra.getCurrent()
    this.update()
  }

  /** Whether all records of the current era have been read. */
  isRead (): boolean {
    return this.readEra === this.options.storeEra.getCurrent()
  }

  /** Takes into account which era the store names as complete. */
  update (): void {
    const { storeEra, index, logger, metrics } = this.options
    const era = storeEra.getCurrent()
    const completeEra = index.findCompleteEra()
    if (completeEra !== undefined && completeEra < era && this.doubt?.era !== era) {
      this.onRestored()
      logger.recordInfo('stream records of an earlier era in doubt', { era, completeEra })
    }
    if (this.doubt === undefined || completeEra !== this.doubt.era) return
    this.doubt = undefined
    metrics.setGauge('stream_records_in_doubt', {}, 0)
  }

  /** Whether a stream without a record may have lost it. */
  isInDoubt (): boolean {
    const { streamLifetimeMs } = versionConstants
    return this.doubt !== undefined && this.options.clock.readMonotonicMs() < this.doubt.sinceMs + streamLifetimeMs
  }

  /** Whether the hosts may be writing lost records again, so that a record that is missing may come soon. */
  isSettling (): boolean {
    const { clock, countHosts } = this.options
    const { restoreMs, fleetWritesPerS } = versionConstants
    const settleMs = restoreMs + 1000 * countHosts() / fleetWritesPerS
    return this.doubt !== undefined && clock.readMonotonicMs() < this.doubt.sinceMs + settleMs
  }

  /** Time since this host learned of the restore; undefined without one. */
  getAgeMs (): number | undefined {
    return this.doubt === undefined ? undefined : this.options.clock.readMonotonicMs() - this.doubt.sinceMs
  }

  /**
   * Lists what is to be written together with the first base version of a store, before the first stream begins. A store
   * without a base version in a later era than the first one may have come back from a copy older than all streams.
   */
  listFirstWrites (): StoreWrite['writes'] {
    const era = this.options.storeEra.getCurrent()
    if (era === 0 || this.options.index.findCompleteEra() !== undefined) return []
    return [this.buildWrite(era === versionConstants.firstEra ? era : era - 1)]
  }

  /**
   * Writes which era is complete: the current one when it is not in doubt any more. When a restore has lost all that
   * was written of it, the era before, so that hosts that start now know of the restore.
   */
  async writeCompleteEra (): Promise<void> {
    const { store, index, storeEra, prefix, logger } = this.options
    const era = storeEra.getCurrent()
    const known = index.findCompleteEra()
    const isOver = !this.isInDoubt()
    const isNeeded = isOver ? index.listServicesWithBase().length > 0 : known === undefined
    if (era === 0 || !this.isRead() || known === era || !isNeeded) return
    const write = this.buildWrite(isOver ? era : era - 1)
    try {
      const removals = known === undefined ? [] : [`${prefix}${known}`]
      await store.writeConditionally({ conditions: [{ key: write.key, revision: 0 }], writes: [write], removals })
    } catch (error) {
      logger.recordWarning('complete era not written', { era, reason: (error as Error).message })
    }
  }

  /** The value is readable as records without a stream, for hosts of an earlier version of this program. */
  private buildWrite (era: number): StoreWrite['writes'][number] {
    return { key: `${this.options.prefix}${era}`, value: Buffer.from('{}') }
  }
}
