import { v4 as createUuid } from 'uuid'
import { streamRecordCodec } from './streamRecordCodec.js'
import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreLease } from '../model/storeLease.js'
import type { StreamRecord } from './streamRecord.js'

interface WriterOptions {
  readonly store: StoreClient
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
  lease: StoreLease | undefined
}

interface Waiter {
  readonly resolve: (isWritten: boolean) => void
  readonly cancelTimeout: () => void
}

/**
 * Writes stream records to the store, those of a short time together. An item holds the records of some seconds and is
 * written again with each further one, so that few items have to be read to find a stream.
 */
export class StreamRecordWriter {
  private slice: Slice | undefined
  private hasUnwritten = false
  private waiters: Waiter[] = []
  private cancelTimer: (() => void) | undefined
  private isWriting = false
  private isStopped = false
  private lastWriteAtMs = -Infinity
  private failedAtMs = -Infinity

  constructor (private readonly options: WriterOptions) {}

  /** Whether a write has failed so recently that the next one is not waited for. */
  isFailing (): boolean {
    return this.options.clock.readMonotonicMs() < this.failedAtMs + versionConstants.writeRetryMs
  }

  /** Adds a record; it is written later, also after failures. */
  addRecord (record: StreamRecord): void {
    const { records } = this.getSlice()
    records.set(record.streamHash, record)
    // In a long outage of the store, the oldest streams are the first that nobody resumes any more.
    if (records.size > versionConstants.maxStartedStreams) records.delete(records.keys().next().value!)
    this.hasUnwritten = true
    this.scheduleWrite(this.isFailing() ? versionConstants.writeRetryMs : 0)
  }

  /** Adds a record; resolves to whether the store has acknowledged it in time. */
  async writeRecord (record: StreamRecord): Promise<boolean> {
    this.addRecord(record)
    return await new Promise(resolve => {
      const timeoutMs = versionConstants.recordTimeoutMs + this.computePauseMs()
      const cancelTimeout = this.options.timers.schedule(timeoutMs, () => {
        this.onFailed('not written in time')
        this.waiters = this.waiters.filter(other => other !== waiter)
        resolve(false)
      })
      const waiter: Waiter = { resolve, cancelTimeout }
      this.waiters.push(waiter)
    })
  }

  stop (): void {
    this.isStopped = true
    this.cancelTimer?.()
    this.endWaiters(this.waiters.splice(0), false)
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
    this.slice = { key: `${this.options.prefix}${createUuid()}`, createdAtMs, records: new Map(), lease: undefined }
    return this.slice
  }

  private scheduleWrite (delayMs: number): void {
    if (this.isStopped || this.isWriting || this.cancelTimer !== undefined) return
    const pauseMs = this.lastWriteAtMs + this.computePauseMs() - this.options.clock.readMonotonicMs()
    this.cancelTimer = this.options.timers.schedule(Math.max(delayMs, pauseMs, 0), () => {
      this.cancelTimer = undefined
      this.writeSlice(this.slice!).catch(error => {
        this.options.logger.recordError('stream records failed unexpectedly', { reason: (error as Error).message })
      })
    })
  }

  private async writeSlice (slice: Slice): Promise<void> {
    const { store, clock, metrics } = this.options
    const waiters = this.waiters.splice(0)
    this.isWriting = true
    this.hasUnwritten = false
    this.lastWriteAtMs = clock.readMonotonicMs()
    let isWritten = false
    try {
      slice.lease ??= await store.createLease(versionConstants.sliceMs + versionConstants.streamLifetimeMs)
      const write = { key: slice.key, value: streamRecordCodec.encode([...slice.records.values()]), lease: slice.lease }
      isWritten = await store.writeConditionally({ conditions: [], writes: [write], removals: [] })
      // Without conditions, the store refuses a write only because its lease has ended.
      if (!isWritten) this.onFailed('the lease has ended')
    } catch (error) {
      this.onFailed((error as Error).message)
    }
    this.isWriting = false
    if (!isWritten) this.retrySlice(slice)
    metrics.addCount('stream_record_writes', { outcome: isWritten ? 'done' : 'failed' })
    this.endWaiters(waiters, isWritten)
    if (this.hasUnwritten) this.scheduleWrite(isWritten ? 0 : versionConstants.writeRetryMs)
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
    this.failedAtMs = this.options.clock.readMonotonicMs()
    const retryMs = versionConstants.writeRetryMs
    this.options.logger.recordWarning('stream records not written', { reason, records: this.slice?.records.size, retryMs })
  }

  private endWaiters (waiters: readonly Waiter[], isWritten: boolean): void {
    for (const { resolve, cancelTimeout } of waiters) {
      cancelTimeout()
      resolve(isWritten)
    }
  }
}
