import { chooseBaseVersion } from './chooseBaseVersion.js'
import { BaseRecordAllowance } from './baseRecordAllowance.js'
import { baseVersionCodec } from './baseVersionCodec.js'
import { hashStreamId } from './hashStreamId.js'
import { RecordDoubt } from './recordDoubt.js'
import { RecordLease } from './recordLease.js'
import { RecordRestorer } from './recordRestorer.js'
import { ServiceVersions } from './serviceVersions.js'
import { StartedStreams } from './startedStreams.js'
import { StreamRecordIndex } from './streamRecordIndex.js'
import { StreamRecordWriter } from './streamRecordWriter.js'
import { versionConstants } from './constants.js'
import { waitForDelay } from '../../../shared/waitForDelay.js'
import type { Clock } from '../../../types/clock.js'
import type { HostRanks } from './hostRanks.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreEra } from '../store/storeEra.js'
import type { StoreItem } from '../model/storeItem.js'
import type { StreamOrigin } from './streamOrigin.js'
import type { StreamRecord } from './streamRecord.js'

interface VersionsOptions extends HostRanks {
  readonly store: StoreClient
  readonly storeEra: StoreEra
  /** Prefix of all keys of stream records and base versions. */
  readonly prefix: string
  /** Versions of the upstreams of a service that are not leaving, one for each upstream. */
  readonly listVersions: (service: string) => readonly string[]
  readonly countHosts: () => number
  readonly clock: Clock
  readonly timers: Scheduler
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Knows at which software version of a service a stream began, for requests that resume it at any host, also after the
 * loss of all hosts. Each service has a base version in the store. A stream that begins at another version is recorded
 * there before it begins, so a stream without a record began at the base version. Only after a restore of the store, a
 * missing record tells nothing: for this, streams of the base version are recorded, too, while a service has several
 * versions, but do not wait for it. Services with one version need no records.
 */
export class StreamVersions {
  private readonly index: StreamRecordIndex
  private readonly writer: StreamRecordWriter
  private readonly started = new StartedStreams()
  private readonly doubt: RecordDoubt
  private readonly restorer: RecordRestorer
  private readonly allowance: BaseRecordAllowance
  private readonly serviceVersions: ServiceVersions
  private readonly basePrefix: string
  private readonly recordPrefix: string
  /** Creations of base versions in progress, by service. */
  private readonly creations = new Map<string, Promise<void>>()
  /** Time since when no upstream of a service has its base version. */
  private readonly absentSinceMs = new Map<string, number>()
  private readInProgress: Promise<void> | undefined
  private nextRead: Promise<void> | undefined
  private cancelCheck: (() => void) | undefined
  private removeEraListener = (): void => {}

  constructor (private readonly options: VersionsOptions) {
    this.basePrefix = `${options.prefix}base/`
    this.recordPrefix = `${options.prefix}records/`
    const completeEras = `${options.prefix}complete-eras/`
    this.index = new StreamRecordIndex({ base: this.basePrefix, completeEras })
    const { index } = this
    const lease = new RecordLease(options.store, options.clock)
    this.writer = new StreamRecordWriter({ ...options, lease, prefix: this.recordPrefix })
    this.serviceVersions = new ServiceVersions({ ...options, index })
    this.allowance = new BaseRecordAllowance(options.countHosts, options.clock)
    this.doubt = new RecordDoubt({ ...options, index, prefix: completeEras })
    this.restorer = new RecordRestorer({
      ...options,
      index,
      lease,
      isRead: () => this.doubt.isRead(),
      isNeeded: () => this.doubt.isInDoubt()
    })
  }

  start (): void {
    this.removeEraListener = this.options.storeEra.addListener(() => { this.onRestored() })
    this.scheduleCheck()
  }

  stop (): void {
    this.removeEraListener()
    this.cancelCheck?.()
    this.writer.stop()
    this.restorer.stop()
  }

  applySnapshot (items: readonly StoreItem[]): void {
    // A base version may have served while the store was not followed.
    this.absentSinceMs.clear()
    this.index.removeOthers(new Set(items.map(item => item.key)), Math.max(0, ...items.map(item => item.revision)))
    for (const item of items) this.applyItem(item)
    this.doubt.onRead()
    // Hosts that start now learn of the restore from this.
    if (this.doubt.isInDoubt()) void this.doubt.writeCompleteEra()
  }

  applyChange (change: StoreChange): void {
    if (change.type === 'removed') return this.index.removeItem(change.key)
    this.applyItem(change.item)
    this.doubt.update()
  }

  /**
   * The version at which streams of a service have to begin now; undefined when any will do. While records cannot be
   * written, only streams of the base version need none.
   */
  findRequiredVersion (service: string): string | undefined {
    if (!this.writer.isFailing()) return undefined
    const base = this.index.findBase(service)?.version
    return base !== undefined && this.isServed(service, base) ? base : undefined
  }

  /**
   * Prepares the beginning of a stream at a version. Resolves to whether it may begin there: not while its record cannot
   * be written and a request that resumes it elsewhere would be sent to another version.
   */
  async admitStart (service: string, requestId: string, version: string): Promise<boolean> {
    const streamHash = hashStreamId(requestId)
    const known = this.started.find(service, streamHash)
    const base = this.index.findBase(service)?.version ?? await this.createBase(service)
    const isAtOtherVersion = version !== base || (known?.isRecorded === true && known.version !== version)
    const isRecorded = isAtOtherVersion || known?.isRecorded === true
    this.started.add({ service, streamHash, version, startedAtMs: this.options.clock.readMonotonicMs(), isRecorded })
    if (!isAtOtherVersion) {
      this.recordBaseStreams(service)
      return true
    }
    const record = { service, streamHash, version }
    const canResumeElsewhere = this.listOtherVersions(service, base, known).some(other => {
      return other !== version && this.isServed(service, other)
    })
    if (!this.writer.isFailing()) return await this.writer.writeRecord(record) || !canResumeElsewhere
    this.writer.addRecord(record)
    return !canResumeElsewhere
  }

  /** Versions at which other hosts may take a stream to have begun while its new record is not in the store. */
  private listOtherVersions (service: string, base: string | undefined, known: StreamRecord | undefined): readonly string[] {
    // Another host may have created any version as the base version, or do so later.
    if (base === undefined) return this.options.listVersions(service)
    return known === undefined ? [base] : [base, known.version]
  }

  /** Finds out at which version a stream began; `requestId` is that of the request that brought its first event. */
  async findOrigin (service: string, requestId: string, signal: AbortSignal): Promise<StreamOrigin> {
    const streamHash = hashStreamId(requestId)
    const own = this.started.find(service, streamHash)
    if (own !== undefined) return { type: 'known', version: own.version, source: 'own' }
    for (let attempt = 1; ; attempt++) {
      try {
        await this.readCurrent()
        return this.findRecorded(service, streamHash) ?? this.decideUnrecorded(service)
      } catch (error) {
        const reason = (error as Error).message
        this.options.logger.recordWarning('stream records not read', { reason, attempt })
        if (attempt >= versionConstants.readAttempts || signal.aborted) {
          const unknown = { type: 'unknown', reason: `the records cannot be read: ${reason}` } as const
          return this.findOther(service, streamHash) ?? unknown
        }
        await waitForDelay(versionConstants.readRetryMs, signal)
      }
    }
  }

  private findRecorded (service: string, streamHash: string): StreamOrigin | undefined {
    const version = this.index.findVersion(service, streamHash)
    return version === undefined ? undefined : { type: 'known', version, source: 'record' }
  }

  /**
   * What an earlier read tells while the store cannot be read: a record at another version than the base version holds.
   * A stream at the base version, or without a record, may have begun at another version since.
   */
  private findOther (service: string, streamHash: string): StreamOrigin | undefined {
    const version = this.index.findVersion(service, streamHash)
    return version === this.index.findBase(service)?.version ? undefined : this.findRecorded(service, streamHash)
  }

  private decideUnrecorded (service: string): StreamOrigin {
    const base = this.index.findBase(service)
    if (base === undefined) return { type: 'unknown', reason: 'the service has no base version' }
    if (this.doubt.isSettling()) {
      return { type: 'unknown', reason: 'records of a restored store are being written again' }
    }
    if (this.doubt.isInDoubt() && this.serviceVersions.hasSeveral(service)) {
      return { type: 'unknown', reason: 'a restore of the store may have lost the record' }
    }
    const origin = { type: 'known', version: base.version, source: 'base' } as const
    const sinceRestoreMs = this.doubt.getAgeMs()
    return sinceRestoreMs === undefined ? origin : { ...origin, sinceRestoreMs: Math.round(sinceRestoreMs) }
  }

  /** Records the streams of this host that began at the base version, while the service has several versions. */
  private recordBaseStreams (service: string): void {
    if (!this.serviceVersions.hasSeveral(service)) return
    while (this.started.hasUnrecorded(service) && this.allowance.takeRecord()) {
      this.writer.addRecord(this.started.takeUnrecorded(service)!, versionConstants.baseRecordDelayMs)
    }
  }

  /** Reads all items from the store, beginning after this call; calls that wait meanwhile share the next read. */
  private async readCurrent (): Promise<void> {
    if (this.readInProgress === undefined) return await this.readAll()
    const startNext = async (): Promise<void> => {
      this.nextRead = undefined
      await this.readAll()
    }
    this.nextRead ??= this.readInProgress.then(startNext, startNext)
    await this.nextRead
  }

  private async readAll (): Promise<void> {
    const read = this.options.store.readPrefix(this.options.prefix).then(({ items, position }) => {
      for (const item of items) this.applyItem(item)
      this.index.removeOthers(new Set(items.map(item => item.key)), position.revision)
      this.doubt.onRead()
    })
    this.readInProgress = read
    try {
      await read
    } finally {
      if (this.readInProgress === read) this.readInProgress = undefined
    }
  }

  private applyItem (item: StoreItem): void {
    const { key, revision } = item
    if (!this.index.applyItem(item)) this.options.logger.recordWarning('stream records not readable', { key, revision })
  }

  private isServed (service: string, version: string): boolean {
    return this.options.listVersions(service).includes(version)
  }

  /** Creates the base version of a service, or reads the one that another host has created; undefined without one. */
  private async createBase (service: string): Promise<string | undefined> {
    const known = this.creations.get(service)
    const creation = known ?? this.writeBase(service, 0).finally(() => { this.creations.delete(service) })
    this.creations.set(service, creation)
    await creation
    return this.index.findBase(service)?.version
  }

  /** Writes the version of most upstreams as the base version when the item still has the revision; 0 for none. */
  private async writeBase (service: string, revision: number): Promise<void> {
    const { store, logger, listVersions } = this.options
    const version = chooseBaseVersion(listVersions(service))
    if (version === undefined) return
    const key = this.basePrefix + service
    try {
      const writes = [{ key, value: baseVersionCodec.encode({ version }) }, ...this.doubt.listFirstWrites()]
      const isWritten = await store.writeConditionally({ conditions: [{ key, revision }], writes, removals: [] })
      logger.recordInfo('base version chosen', { service, version, isWritten })
      await this.readCurrent()
    } catch (error) {
      logger.recordWarning('base version not written', { service, version, reason: (error as Error).message })
    }
  }

  private scheduleCheck (): void {
    this.cancelCheck = this.options.timers.schedule(versionConstants.checkMs, () => {
      this.updateBases()
      for (const service of this.started.listUnrecordedServices()) this.recordBaseStreams(service)
      if (!this.doubt.isInDoubt()) this.index.removeEarlier()
      void this.doubt.writeCompleteEra()
      this.scheduleCheck()
    })
  }

  /** Replaces base versions that are gone for so long that no stream of theirs can be resumed any more. */
  private updateBases (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const service of this.index.listServicesWithBase()) {
      const base = this.index.findBase(service)
      if (base === undefined || this.isServed(service, base.version)) {
        this.absentSinceMs.delete(service)
        continue
      }
      const sinceMs = this.absentSinceMs.get(service) ?? nowMs
      this.absentSinceMs.set(service, sinceMs)
      if (nowMs - sinceMs < versionConstants.streamLifetimeMs) continue
      this.absentSinceMs.delete(service)
      void this.writeBase(service, base.revision)
    }
  }

  /**
   * The store may have lost the newest records. This host writes those of its own streams again, and those of other
   * hosts that do not do so themselves.
   */
  private onRestored (): void {
    const known = this.index.countStreams()
    this.index.applyRestore()
    this.doubt.onRestored()
    this.writer.applyRestore()
    const own = this.started.listRecorded()
    for (const record of own) this.writer.addRecord(record)
    this.restorer.start()
    this.options.logger.recordInfo('stream records after a restore', { known, own: own.length })
  }
}
