import { chooseBaseVersion } from './chooseBaseVersion.js'
import { baseVersionCodec } from './baseVersionCodec.js'
import { hashStreamId } from './hashStreamId.js'
import { StartedStreams } from './startedStreams.js'
import { StreamRecordIndex } from './streamRecordIndex.js'
import { StreamRecordWriter } from './streamRecordWriter.js'
import { versionConstants } from './constants.js'
import { waitForDelay } from '../../../shared/waitForDelay.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreEra } from '../store/storeEra.js'
import type { StoreItem } from '../model/storeItem.js'
import type { StreamOrigin } from './streamOrigin.js'
import type { StreamRecord } from './streamRecord.js'

interface VersionsOptions {
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
 * there before it begins, so a stream without a record began at the base version. Services with one version need no
 * records.
 */
export class StreamVersions {
  private readonly index: StreamRecordIndex
  private readonly writer: StreamRecordWriter
  private readonly started = new StartedStreams()
  private readonly basePrefix: string
  private readonly recordPrefix: string
  /** Creations of base versions in progress, by service. */
  private readonly creations = new Map<string, Promise<void>>()
  /** Time since when no upstream of a service has its base version. */
  private readonly absentSinceMs = new Map<string, number>()
  private readInProgress: Promise<void> | undefined
  private nextRead: Promise<void> | undefined
  private restoredAtMs = -Infinity
  private cancelCheck: (() => void) | undefined
  private removeEraListener = (): void => {}

  constructor (private readonly options: VersionsOptions) {
    this.basePrefix = `${options.prefix}base/`
    this.recordPrefix = `${options.prefix}records/`
    this.index = new StreamRecordIndex({ base: this.basePrefix, records: this.recordPrefix })
    this.writer = new StreamRecordWriter({ ...options, prefix: this.recordPrefix })
  }

  start (): void {
    this.removeEraListener = this.options.storeEra.addListener(() => { this.onRestored() })
    this.scheduleBaseCheck()
  }

  stop (): void {
    this.removeEraListener()
    this.cancelCheck?.()
    this.writer.stop()
  }

  applySnapshot (items: readonly StoreItem[]): void {
    // A base version may have served while the store was not followed.
    this.absentSinceMs.clear()
    this.index.removeOthers(new Set(items.map(item => item.key)), Math.max(0, ...items.map(item => item.revision)))
    for (const item of items) this.applyItem(item)
  }

  applyChange (change: StoreChange): void {
    if (change.type === 'written') this.applyItem(change.item)
    else this.index.removeItem(change.key)
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
    const isRecorded = version !== base || known?.isRecorded === true
    this.started.add({ service, streamHash, version, startedAtMs: this.options.clock.readMonotonicMs(), isRecorded })
    if (!isRecorded) return true
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
          // A record that the watch has brought holds; one that is missing may have been written since.
          return this.findRecorded(service, streamHash) ?? { type: 'unknown', reason: `the records cannot be read: ${reason}` }
        }
        await waitForDelay(versionConstants.readRetryMs, signal)
      }
    }
  }

  private findRecorded (service: string, streamHash: string): StreamOrigin | undefined {
    const version = this.index.findVersion(service, streamHash)
    return version === undefined ? undefined : { type: 'known', version, source: 'record' }
  }

  private decideUnrecorded (service: string): StreamOrigin {
    const base = this.index.findBase(service)
    if (base === undefined) return { type: 'unknown', reason: 'the service has no base version' }
    const sinceRestoreMs = this.options.clock.readMonotonicMs() - this.restoredAtMs
    if (sinceRestoreMs < versionConstants.restoreMs) {
      return { type: 'unknown', reason: 'records of a restored store are being written again' }
    }
    const origin = { type: 'known', version: base.version, source: 'base' } as const
    return sinceRestoreMs === Infinity ? origin : { ...origin, sinceRestoreMs: Math.round(sinceRestoreMs) }
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
      const writes = [{ key, value: baseVersionCodec.encode({ version }) }]
      const isWritten = await store.writeConditionally({ conditions: [{ key, revision }], writes, removals: [] })
      logger.recordInfo('base version chosen', { service, version, isWritten })
      await this.readCurrent()
    } catch (error) {
      logger.recordWarning('base version not written', { service, version, reason: (error as Error).message })
    }
  }

  private scheduleBaseCheck (): void {
    this.cancelCheck = this.options.timers.schedule(versionConstants.baseCheckMs, () => {
      this.updateBases()
      this.scheduleBaseCheck()
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

  /** The store may have lost the newest records; streams of hosts that are lost, too, stay unknown. */
  private onRestored (): void {
    const known = this.index.countStreams()
    this.index.removeAll()
    this.restoredAtMs = this.options.clock.readMonotonicMs()
    const own = this.started.listRecorded()
    for (const record of own) this.writer.addRecord(record)
    this.options.logger.recordInfo('stream records after a restore', { known, own: own.length })
  }
}
