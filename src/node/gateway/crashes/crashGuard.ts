import { createHash } from 'node:crypto'
import { crashConstants } from './constants.js'
import { crashReportCodec } from './crashReportCodec.js'
import { listSharedPartIds } from './listSharedPartIds.js'
import { PromptPartRecords } from './promptPartRecords.js'
import type { Clock } from '../../../types/clock.js'
import type { CrashReporter } from './crashReporter.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { PartRefusal } from './partRefusal.js'
import type { PromptAdmission } from './promptAdmission.js'
import type { PromptPart } from '../model/promptPart.js'
import type { PromptTrial } from './promptTrial.js'
import type { SnapshotCause } from '../store/snapshotCause.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreItem } from '../model/storeItem.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

interface GuardOptions {
  readonly store: StoreClient
  readonly reporter: CrashReporter
  /** Prefix of the keys of claims. */
  readonly claimPrefix: string
  /** Checks whether the process behind an address has ended. */
  readonly checkEnded: (address: string) => Promise<boolean>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Keeps prompt parts that end upstreams away from them. The hosts share their evidence through the store, because each
 * of them may see one crash only. One request of all hosts is sent as a trial when a refused part may be sound after
 * all.
 */
export class CrashGuard {
  private readonly records = new PromptPartRecords()
  /** Running and recent checks by upstream instance. */
  private readonly checks = new Map<string, Promise<boolean>>()
  /** Trials that this host has claimed or lost, by key. */
  private readonly claimedUntilMs = new Map<string, number>()
  /** Trials that this host has claimed, by key, with the time at which the claims end in the store. */
  private readonly ownClaims = new Map<string, number>()
  /** Keys of the reports that were applied and are still in the store. */
  private appliedKeys = new Set<string>()

  constructor (private readonly options: GuardOptions) {}

  /** Decides whether a request may be sent, and claims the trial of a refused part when it is due. */
  async admit (parts: readonly PromptPart[]): Promise<PromptAdmission> {
    const refusal = this.records.findRefusal(listSharedPartIds(parts), this.readNowMs())
    if (refusal === undefined) return { type: 'admitted' }
    const trial = refusal.trialInMs === 0 ? await this.claimTrial(refusal) : undefined
    if (trial !== undefined) return { type: 'admitted', trial }
    this.options.reporter.addCrashes(this.records.takeExpiringCrashes(refusal.partId, this.readNowMs()))
    return { type: 'refused', refusal }
  }

  /** Whether a request that was admitted, perhaps with a trial, must not be sent by now. */
  findRefusal (parts: readonly PromptPart[], trial: PromptTrial | undefined): PartRefusal | undefined {
    const refusal = this.records.findRefusal(listSharedPartIds(parts), this.readNowMs())
    const isTrial = refusal !== undefined && trial?.partId === refusal.partId && trial.crashCount === refusal.crashCount
    return isTrial ? undefined : refusal
  }

  /** An upstream has begun the answer to a request. */
  onAnswerBegan (parts: readonly PromptPart[]): void {
    const cleared = this.records.recordAnswer(listSharedPartIds(parts), this.readNowMs())
    if (cleared.length === 0) return
    this.options.logger.recordInfo('prompt parts cleared', { parts: cleared.join(' ') })
    this.options.reporter.addSoundParts(cleared)
  }

  /**
   * A connection broke before the answer to its request began. Resolves when it is known whether the upstream has
   * ended: `hasEnded` tells it when another host has checked.
   */
  async onConnectionLost (upstream: UpstreamEntry, parts: readonly PromptPart[], hasEnded?: boolean): Promise<void> {
    const partIds = listSharedPartIds(parts)
    if (partIds.length === 0) return
    const instance = `${upstream.id}@${upstream.startedAtMs}`
    if (!(hasEnded ?? await this.checkEndedOnce(instance, upstream.address))) return
    const nowMs = this.readNowMs()
    const suspects = this.records.listSuspects(partIds, nowMs).slice(0, crashConstants.maxPartsPerCrash)
    const crash = { instance, partIds: suspects }
    this.options.metrics.addCount('upstream_crashes_seen', { service: upstream.service })
    this.options.logger.recordWarning('upstream ended before an answer', {
      upstream: upstream.id,
      parts: partIds.join(' '),
      suspects: suspects.join(' ')
    })
    if (crash.partIds.length === 0) return
    this.applyEvidence(() => { this.records.recordCrash(crash, nowMs) }, crash.partIds)
    this.options.reporter.addCrashes([crash])
  }

  /** Gives an undecided trial back, so that another request can be sent in its place. */
  async endTrial ({ partId, crashCount, key }: PromptTrial): Promise<void> {
    const refusal = this.records.findRefusal([partId], this.readNowMs())
    if (refusal?.crashCount !== crashCount) return
    this.claimedUntilMs.delete(key)
    this.ownClaims.delete(key)
    try {
      await this.options.store.writeConditionally({ conditions: [], writes: [], removals: [key] })
    } catch (error) {
      const reason = (error as Error).message
      this.options.logger.recordWarning('trial not given back; it ends with its lease', { part: partId, reason })
    }
  }

  /** Applies all reports in the store, except those that were applied before. */
  applySnapshot (items: readonly StoreItem[], cause: SnapshotCause): void {
    if (cause === 'restore') {
      this.records.setReportsLost()
      this.writeClaimsAgain().catch(error => {
        this.options.logger.recordWarning('claims of trials not written again', { reason: (error as Error).message })
      })
    } else {
      const keys = new Set(items.map(item => item.key))
      this.appliedKeys = new Set([...this.appliedKeys].filter(key => keys.has(key)))
    }
    this.applyReports(items)
  }

  /** Forgets a report that has expired; its evidence stays. */
  removeReport (key: string): void {
    this.appliedKeys.delete(key)
  }

  applyReports (items: readonly StoreItem[]): void {
    for (const { key, value, revision } of [...items].sort((a, b) => a.revision - b.revision)) {
      if (this.appliedKeys.has(key)) continue
      this.appliedKeys.add(key)
      const report = crashReportCodec.decode(value)
      if (report === undefined) {
        this.options.logger.recordWarning('crash report not readable', { key, revision })
        continue
      }
      const partIds = report.crashes.flatMap(crash => crash.partIds)
      this.applyEvidence(() => { this.records.applyReport(report, this.readNowMs()) }, partIds)
    }
  }

  /** Applies evidence and logs the parts that are refused because of it. */
  private applyEvidence (apply: () => void, partIds: readonly string[]): void {
    const nowMs = this.readNowMs()
    const known = new Set(partIds.filter(id => this.records.findRefusal([id], nowMs) !== undefined))
    apply()
    for (const id of new Set(partIds)) {
      const refusal = this.records.findRefusal([id], nowMs)
      if (refusal === undefined || known.has(id)) continue
      this.options.metrics.addCount('prompt_parts_refused', {})
      this.options.logger.recordWarning('prompt part refused', {
        part: id,
        crashes: refusal.crashCount,
        trialInMs: Math.round(refusal.trialInMs)
      })
    }
  }

  private async claimTrial ({ partId, crashCount }: PartRefusal): Promise<PromptTrial | undefined> {
    const { store, reporter, claimPrefix, logger } = this.options
    const nowMs = this.readNowMs()
    const key = `${claimPrefix}${createHash('sha256').update(partId).digest('hex').slice(0, 32)}/${crashCount}`
    for (const [other, untilMs] of this.claimedUntilMs) {
      if (untilMs <= nowMs) this.claimedUntilMs.delete(other)
    }
    if (this.claimedUntilMs.has(key)) return undefined
    this.claimedUntilMs.set(key, nowMs + crashConstants.claimRetryMs)
    try {
      const lease = await reporter.getLease()
      const isClaimed = await store.writeConditionally({
        conditions: [{ key, revision: 0 }],
        writes: [{ key, value: Buffer.alloc(0), lease }],
        removals: []
      })
      if (!isClaimed) return undefined
      this.ownClaims.set(key, nowMs + crashConstants.reportLeaseMs)
      logger.recordInfo('prompt part on trial', { part: partId, crashes: crashCount })
      return { partId, crashCount, key }
    } catch (error) {
      logger.recordWarning('trial not claimed', { part: partId, reason: (error as Error).message })
      return undefined
    }
  }

  /** A restored store has lost the newest claims, so another host would send the same trial. */
  private async writeClaimsAgain (): Promise<void> {
    const { store, reporter } = this.options
    for (const [key, untilMs] of this.ownClaims) {
      if (untilMs <= this.readNowMs()) this.ownClaims.delete(key)
    }
    const keys = [...this.ownClaims.keys()].slice(-crashConstants.maxClaimsWrittenAgain)
    if (keys.length === 0) return
    const lease = await reporter.getLease()
    const writes = keys.map(key => ({ key, value: Buffer.alloc(0), lease }))
    const isWritten = await store.writeConditionally({ conditions: [], writes, removals: [] })
    this.options.logger.recordInfo('claims of trials written again', { count: keys.length, isWritten })
  }

  private async checkEndedOnce (instance: string, address: string): Promise<boolean> {
    const known = this.checks.get(instance)
    if (known !== undefined) return await known
    const check = this.options.checkEnded(address)
    this.checks.set(instance, check)
    setTimeout(() => { this.checks.delete(instance) }, crashConstants.checkLifetimeMs).unref()
    return await check
  }

  private readNowMs (): number {
    return this.options.clock.readMonotonicMs()
  }
}
