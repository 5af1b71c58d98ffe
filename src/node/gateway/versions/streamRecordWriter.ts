import { v4 as createUuid } from 'uuid'
import { streamRecordCodec } from './streamRecordCodec.js'
import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { RecordLease } from './recordLease.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StreamRecord } from './streamRecord.js'

interface WriterOptions {
  readonly store: StoreClient
  readonly lease: RecordLease
  /** Prefix of the keys of the items. */
  readonly prefix: string
  readonly countHosts: () => number
  readonly clock: Clock
  readonly timers: Scheduler
  readonly logger: Logger
  readonly metrics: Metrics
}

interface Slice {
  readonly key: string
  readonly createdAtMs: number
  readonly records: Map<string, StreamRecord>
}

interface Waiter {
  readonly resolve: (isWritten: boolean) => void
  readonly cancelTimeout: () => void
}

type WriteOutcome = 'written' | 'failed' | 'unanswered'

/**
 * Writes stream records to the store, those of a short time together. An item holds the records of some seconds and is
 * written again with each further one, so that few items have to be read to find a stream. A write that is not answered
 * soon is repeated under another key while its answer is still awaited: streams wait for it.
 */
export class StreamRecordWriter {
  private readonly writerId = createUuid()
  private sliceCount = 0
  private slice: Slice | undefined
  private hasUnwritten = false
  private readonly waiters = new Set<Waiter>()
  private scheduled: { readonly atMs: number, readonly cancel: () => void } | undefined
  private isWriting = false
  private isStopped = false
  private lastWriteAtMs = -Infinity
  private hasFailed = false
  /** Time at which the newest write that succeeded was sent. */
  private writtenAtMs = -Infinity

  constructor (private readonly options: WriterOptions) {}

  /** Whether no write has succeeded since one has failed, so that the next one is not waited for. */
  isFailing (): boolean {
    return this.hasFailed
  }

  /** Adds a record; it is written within `delayMs` and the pause between writes, or later after failures. */
  addRecord (record: StreamRecord, delayMs = 0): void {
    const { records } = this.getSlice()
    records.set(record.streamHash, record)
    // In a long outage of the store, the oldest streams are the first that nobody resumes any more.
    if (records.size > versionConstants.maxStartedStreams) records.delete(records.keys().next().value!)
    this.hasUnwritten = true
    this.scheduleWrite(this.isFailing() ? Math.max(versionConstants.writeRetryMs, delayMs) : delayMs)
  }

  /** Adds a record; resolves to whether the store has acknowledged it in time. */
  async writeRecord (record: StreamRecord): Promise<boolean> {
    this.addRecord(record)
    return await new Promise(resolve => {
      const timeoutMs = versionConstants.recordTimeoutMs + this.computePauseMs()
      const cancelTimeout = this.options.timers.schedule(timeoutMs, () => {
        this.onFailed('not written in time')
        this.endWaiters([waiter], false)
      })
      const waiter: Waiter = { resolve, cancelTimeout }
      this.waiters.add(waiter)
    })
  }

  /**
   * Begins a new item after a restore of the store: other hosts may write the lost ones again as they have read them.
   * All records that are still needed have to be added again.
   */
  applyRestore (): void {
    this.options.lease.removeLease()
    if (this.slice !== undefined) this.createSlice()
    this.hasUnwritten = false
  }

  stop (): void {
    this.isStopped = true
    this.scheduled?.cancel()
    this.endWaiters([...this.waiters], false)
  }

  private computePauseMs (): number {
    return 1000 * this.options.countHosts() / versionConstants.fleetWritesPerS
  }

  private getSlice (): Slice {
    const nowMs = this.options.clock.readMonotonicMs()
    const { slice } = this
    const isOpen = slice !== undefined && nowMs - slice.createdAtMs < versionConstants.sliceMs &&
      slice.records.size < versionConstants.maxSliceRecords
    // A slice with unwritten records stays: only the newest one is written.
    if (slice !== undefined && (isOpen || this.hasUnwritten)) return slice
    return this.createSlice()
  }

  private createSlice (): Slice {
    const createdAtMs = this.options.clock.readMonotonicMs()
    const number = String(++this.sliceCount).padStart(versionConstants.sliceNumberLength, '0')
    this.slice = { key: `${this.options.prefix}${this.writerId}/${number}`, createdAtMs, records: new Map() }
    return this.slice
  }

  private scheduleWrite (delayMs: number): void {
    if (this.isStopped || this.isWriting) return
    const { clock, timers, logger } = this.options
    const nowMs = clock.readMonotonicMs()
    const atMs = Math.max(nowMs + delayMs, this.lastWriteAtMs + this.computePauseMs())
    if (this.scheduled !== undefined && this.scheduled.atMs <= atMs) return
    this.scheduled?.cancel()
    const cancel = timers.schedule(atMs - nowMs, () => {
      this.scheduled = undefined
      if (!this.hasUnwritten) return
      this.writeSlice(this.slice!).catch(error => {
        logger.recordError('stream records failed unexpectedly', { reason: (error as Error).message })
      })
    })
    this.scheduled = { atMs, cancel }
  }

  private async writeSlice (slice: Slice): Promise<void> {
    const { clock, metrics } = this.options
    const waiters = [...this.waiters]
    this.isWriting = true
    this.hasUnwritten = false
    this.lastWriteAtMs = clock.readMonotonicMs()
    const write = this.sendSlice(slice, waiters)
    const outcome = await Promise.race([write, this.waitForAnswer()])
    this.isWriting = false
    metrics.addCount('stream_record_writes', { outcome })
    if (outcome !== 'written') this.retrySlice(slice)
    if (this.hasUnwritten) this.scheduleWrite(outcome === 'failed' ? versionConstants.writeRetryMs : 0)
  }

  /** Sends a write; an answer that comes late still counts for those that wait. */
  private async sendSlice ({ key, records }: Slice, waiters: readonly Waiter[]): Promise<WriteOutcome> {
    const { store, lease, clock } = this.options
    const sentAtMs = clock.readMonotonicMs()
    try {
      const writes = [{ key, value: streamRecordCodec.encode([...records.values()]), lease: await lease.getLease() }]
      // Without conditions, the store refuses a write only because its lease has ended.
      if (!await store.writeConditionally({ conditions: [], writes, removals: [] })) {
        lease.removeLease()
        return 'failed'
      }
    } catch (error) {
      // A later write may have succeeded before this one is given up.
      if (sentAtMs >= this.writtenAtMs) this.onFailed((error as Error).message)
      return 'failed'
    }
    this.hasFailed = false
    this.writtenAtMs = Math.max(this.writtenAtMs, sentAtMs)
    this.endWaiters(waiters, true)
    return 'written'
  }

  private async waitForAnswer (): Promise<WriteOutcome> {
    return await new Promise(resolve => {
      this.options.timers.schedule(versionConstants.writeRepeatMs, () => { resolve('unanswered') })
    })
  }

  /** Writes the records under another key: a write without an answer may be done late, and must not undo later ones. */
  private retrySlice (slice: Slice): void {
    const { records } = this.slice === slice ? this.createSlice() : this.slice!
    for (const [hash, record] of slice.records) {
      if (!records.has(hash)) records.set(hash, record)
    }
    this.hasUnwritten = true
  }

  private onFailed (reason: string): void {
    this.hasFailed = true
    const retryMs = versionConstants.writeRetryMs
    this.options.logger.recordWarning('stream records not written', { reason, records: this.slice?.records.size, retryMs })
  }

  private endWaiters (waiters: readonly Waiter[], isWritten: boolean): void {
    for (const waiter of waiters) {
      waiter.cancelTimeout()
      this.waiters.delete(waiter)
      waiter.resolve(isWritten)
    }
  }
}
