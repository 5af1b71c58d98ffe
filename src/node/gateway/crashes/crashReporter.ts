import { v4 as createUuid } from 'uuid'
import { crashConstants } from './constants.js'
import { crashReportCodec } from './crashReportCodec.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreEra } from '../store/storeEra.js'
import type { StoreLease } from '../model/storeLease.js'
import type { UpstreamCrash } from '../model/upstreamCrash.js'

interface ReporterOptions {
  readonly store: StoreClient
  readonly storeEra: StoreEra
  /** Prefix of the keys of the reports. */
  readonly prefix: string
  readonly clock: Clock
  readonly timers: Scheduler
  readonly logger: Logger
}

/**
 * Writes this host's evidence on prompt parts and requests to the store, for all hosts. Evidence outlives the host that
 * reported it.
 */
export class CrashReporter {
  private crashes: UpstreamCrash[] = []
  private soundPartIds = new Set<string>()
  private soundRequestHashes = new Set<string>()
  private cancelTimer: (() => void) | undefined
  private isWriting = false
  private isStopped = false
  /** The lease of the last reports. */
  private newestLease: { readonly lease: StoreLease, readonly createdAtMs: number } | undefined

  constructor (private readonly options: ReporterOptions) {}

  addCrashes (crashes: readonly UpstreamCrash[]): void {
    if (crashes.length === 0) return
    this.crashes.push(...crashes)
    const leftOut = this.crashes.splice(crashConstants.maxPendingEntries).length
    if (leftOut > 0) this.options.logger.recordWarning('crash reports left out', { leftOut })
    this.scheduleWrite(crashConstants.reportDelayMs)
  }

  /** Reports parts on which an answer has begun. */
  addSoundParts (partIds: readonly string[]): void {
    if (partIds.length === 0) return
    for (const id of partIds) this.soundPartIds.add(id)
    this.scheduleWrite(crashConstants.reportDelayMs)
  }

  /** Reports requests to which an answer has begun. */
  addSoundRequests (hashes: readonly string[]): void {
    if (hashes.length === 0) return
    for (const hash of hashes) this.soundRequestHashes.add(hash)
    this.scheduleWrite(crashConstants.reportDelayMs)
  }

  stop (): void {
    this.isStopped = true
    this.cancelTimer?.()
  }

  /** Lease of the reports and of the claims of trials. */
  async getLease (): Promise<StoreLease> {
    const { clock, store, storeEra } = this.options
    const nowMs = clock.readMonotonicMs()
    const { newestLease } = this
    const isFresh = newestLease !== undefined && nowMs - newestLease.createdAtMs < crashConstants.reportRefreshMs
    if (isFresh && newestLease.lease.era === storeEra.getCurrent()) return newestLease.lease
    const lease = await store.createLease(crashConstants.reportLeaseMs)
    this.newestLease = { lease, createdAtMs: nowMs }
    return lease
  }

  private scheduleWrite (delayMs: number): void {
    if (this.isStopped || this.isWriting || this.cancelTimer !== undefined) return
    this.cancelTimer = this.options.timers.schedule(delayMs, () => {
      this.cancelTimer = undefined
      this.writePending().catch(error => {
        this.options.logger.recordError('crash report failed unexpectedly', { reason: (error as Error).message })
      })
    })
  }

  private async writePending (): Promise<void> {
    const { logger, prefix, store } = this.options
    const report = {
      crashes: this.crashes.splice(0, crashConstants.maxReportEntries),
      soundPartIds: takeFirst(this.soundPartIds, crashConstants.maxReportEntries),
      soundRequestHashes: takeFirst(this.soundRequestHashes, crashConstants.maxReportEntries)
    }
    this.isWriting = true
    let isWritten = false
    try {
      const lease = await this.getLease()
      isWritten = await store.writeConditionally({
        conditions: [],
        writes: [{ key: `${prefix}${createUuid()}`, value: crashReportCodec.encode(report), lease }],
        removals: []
      })
      // Without conditions, the store refuses a write only because its lease has ended.
      if (!isWritten) this.newestLease = undefined
    } catch (error) {
      const reason = (error as Error).message
      logger.recordWarning('crash report not written', { reason, retryMs: crashConstants.reportRetryMs })
    }
    this.isWriting = false
    if (!isWritten) {
      // A report that was written without an answer is written twice, which changes nothing.
      this.crashes.unshift(...report.crashes)
      for (const id of report.soundPartIds) this.soundPartIds.add(id)
      for (const hash of report.soundRequestHashes) this.soundRequestHashes.add(hash)
    }
    if (this.crashes.length === 0 && this.soundPartIds.size === 0 && this.soundRequestHashes.size === 0) return
    this.scheduleWrite(isWritten ? crashConstants.reportDelayMs : crashConstants.reportRetryMs)
  }
}

/** Removes and returns the items that were added first. */
function takeFirst (items: Set<string>, count: number): readonly string[] {
  const first = [...items].slice(0, count)
  for (const item of first) items.delete(item)
  return first
}
