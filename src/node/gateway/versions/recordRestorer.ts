import { computeRendezvousRank } from '../../../shared/computeRendezvousRank.js'
import { versionConstants } from './constants.js'
import type { HostRanks } from './hostRanks.js'
import type { Logger } from '../../../types/logger.js'
import type { LostItem } from './lostItem.js'
import type { Metrics } from '../../../types/metrics.js'
import type { RecordLease } from './recordLease.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StreamRecordIndex } from './streamRecordIndex.js'

interface RestorerOptions extends HostRanks {
  readonly store: StoreClient
  readonly index: StreamRecordIndex
  readonly lease: RecordLease
  /** Whether all records of the current era of the store have been read. */
  readonly isRead: () => boolean
  /** Whether streams of the time before the restore can still be resumed. */
  readonly isNeeded: () => boolean
  readonly timers: Scheduler
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Writes the items again that a restore of the store has lost and that nobody else has written again: their host may be
 * lost, too. All hosts have read them. Each item is written by the first host of its own order that lives: those behind
 * it wait, and find it in the store by then.
 */
export class RecordRestorer {
  private cancelTimer: (() => void) | undefined
  /** Number of the last start or stop; turns of earlier starts end. */
  private startNumber = 0
  /** Keys that this host has written since the restore; the watch brings them later. */
  private readonly writtenKeys = new Set<string>()

  constructor (private readonly options: RestorerOptions) {}

  /** Starts after a restore; the hosts that wrote the items come first. */
  start (): void {
    this.stop()
    this.writtenKeys.clear()
    this.scheduleTurn(0)
  }

  stop (): void {
    this.startNumber++
    this.cancelTimer?.()
  }

  private scheduleTurn (turn: number): void {
    const { timers, isRead, isNeeded, logger } = this.options
    const { startNumber } = this
    this.cancelTimer = timers.schedule(versionConstants.restoreTurnMs, () => {
      if (!isNeeded()) return
      if (!isRead()) return this.scheduleTurn(turn)
      this.writeLost(turn).catch(error => {
        logger.recordWarning('lost stream records not written', { reason: (error as Error).message })
      }).finally(() => { if (startNumber === this.startNumber) this.onTurnEnded(turn) })
    })
  }

  /** The last turn comes again until nothing is lost any more. */
  private onTurnEnded (turn: number): void {
    const { restoreTurns } = versionConstants
    if (turn < restoreTurns) this.scheduleTurn(turn + 1)
    else if (this.options.index.listLost(key => !this.writtenKeys.has(key)).length > 0) this.scheduleTurn(turn)
  }

  /** Writes the lost items for which this host has rank `turn` or before; in the last turn, all that are still lost. */
  private async writeLost (turn: number): Promise<void> {
    const { index, hostId, listHostIds, logger, metrics } = this.options
    const { restoreTurns, maxRestoredItems } = versionConstants
    const hostIds = listHostIds()
    const isInTurn = (key: string): boolean => {
      return turn === restoreTurns || computeRendezvousRank(key, hostId, hostIds, turn + 1) !== undefined
    }
    const lost = index.listLost(key => !this.writtenKeys.has(key) && isInTurn(key))
    for (let i = 0; i < lost.length; i += maxRestoredItems) {
      const items = lost.slice(i, i + maxRestoredItems)
      const isWritten = await this.writeItems(items)
      if (isWritten) for (const { key } of items) this.writtenKeys.add(key)
      const streams = items.reduce((sum, item) => sum + item.streams, 0)
      metrics.addCount('stream_records_restored', { outcome: isWritten ? 'written' : 'changed' }, streams)
      logger.recordInfo('lost stream records written', { items: items.length, streams, isWritten })
    }
  }

  /** Resolves to whether the items were written: not when another host has changed one of them since it was read. */
  private async writeItems (items: readonly LostItem[]): Promise<boolean> {
    const { store, lease } = this.options
    const value = await lease.getLease()
    return await store.writeConditionally({
      conditions: items.map(({ key, revision }) => ({ key, revision })),
      writes: items.map(item => ({ key: item.key, value: item.value, lease: item.streams > 0 ? value : undefined })),
      removals: []
    })
  }
}
