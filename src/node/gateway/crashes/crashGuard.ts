import { createHash } from 'node:crypto'
import { crashConstants } from './constants.js'
import { crashReportCodec } from './crashReportCodec.js'
import { SuspectRecords } from './suspectRecords.js'
import type { Clock } from '../../../types/clock.js'
import type { CrashReport } from '../model/crashReport.js'
import type { CrashReporter } from './crashReporter.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { SuspectRefusal } from './suspectRefusal.js'
import type { SuspectAdmission } from './suspectAdmission.js'
import type { SuspectTrial } from './suspectTrial.js'
import type { SnapshotCause } from '../store/snapshotCause.js'
import type { SuspectKind } from './suspectKind.js'
import type { SuspectRequest } from './suspectRequest.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreItem } from '../model/storeItem.js'
import type { UpstreamCrash } from '../model/upstreamCrash.js'
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
 * Keeps prompt parts and requests that end upstreams away from them. The hosts share their evidence through the store,
 * because each of them may see one crash only. One request of all hosts is sent as a trial when what is refused may be
 * sound after all.
 */
export class CrashGuard {
  private readonly parts = new SuspectRecords('part')
  private readonly requests = new SuspectRecords('request')
  /** Running and recent checks by upstream instance. */
  private readonly checks = new Map<string, Promise<boolean>>()
  /** Trials that this host has claimed or lost, by key. */
  private readonly claimedUntilMs = new Map<string, number>()
  /** Trials that this host has claimed, by key, with the time at which the claims end in the store. */
  private readonly ownClaims = new Map<string, number>()
  /** Keys of the reports that were applied and are still in the store. */
  private appliedKeys = new Set<string>()

  constructor (private readonly options: GuardOptions) {}

  /** Decides whether a request may be sent, and claims the trial of what is refused in it when it is due. */
  async admit (request: SuspectRequest): Promise<SuspectAdmission> {
    const refusal = this.findLongestRefusal(request)
    if (refusal === undefined) return { type: 'admitted' }
    const trial = refusal.trialInMs === 0 ? await this.claimTrial(refusal) : undefined
    if (trial !== undefined) return { type: 'admitted', trial }
    this.reportExpiringCrashes(refusal)
    return { type: 'refused', refusal }
  }

  /** Whether a request that was admitted, perhaps with a trial, must not be sent by now. */
  findRefusal (request: SuspectRequest, trial: SuspectTrial | undefined): SuspectRefusal | undefined {
    const refusal = this.findLongestRefusal(request)
    const isTrial = refusal !== undefined && trial?.id === refusal.id && trial.crashCount === refusal.crashCount
    return isTrial ? undefined : refusal
  }

  /** An upstream has begun the answer to a request, so neither its prompt nor the request itself ends upstreams. */
  onAnswerBegan (request: SuspectRequest): void {
    this.onAnswered(request)
    const cleared = this.parts.recordAnswer(request.partIds, this.readNowMs())
    if (cleared.length === 0) return
    this.options.logger.recordInfo('prompt parts cleared', { parts: cleared.join(' ') })
    this.options.reporter.addSoundParts(cleared)
  }

  /** An upstream has answered a request, perhaps without reading its prompt. */
  onAnswered (request: SuspectRequest): void {
    if (!this.requests.hasSuspects()) return
    const cleared = this.requests.recordAnswer([request.hash], this.readNowMs())
    if (cleared.length === 0) return
    this.options.logger.recordInfo('request cleared', { requestHash: cleared.join(' ') })
    this.options.reporter.addSoundRequests(cleared)
  }

  /**
   * A connection broke before the answer to its request began. Resolves when it is known whether the upstream has
   * ended: `hasEnded` tells it when another host has checked.
   */
  async onConnectionLost (upstream: UpstreamEntry, request: SuspectRequest, hasEnded?: boolean): Promise<void> {
    const instance = `${upstream.id}@${upstream.startedAtMs}`
    if (!(hasEnded ?? await this.checkEndedOnce(instance, upstream.address))) return
    const nowMs = this.readNowMs()
    const { partIds, hash } = request
    // A request that is refused already explains the end.
    const isExplained = this.requests.findRefusal([hash], nowMs) !== undefined
    const accused = isExplained ? [] : this.parts.listSuspects(partIds, nowMs)
    const suspects = accused.slice(0, crashConstants.maxPartsPerCrash)
    const crash = { instance, partIds: suspects, requestHash: hash }
    this.options.metrics.addCount('upstream_crashes_seen', { service: upstream.service })
    this.options.logger.recordWarning('upstream ended before an answer', {
      upstream: upstream.id,
      parts: partIds.join(' '),
      suspects: suspects.join(' '),
      requestHash: hash
    })
    this.applyEvidence({ crashes: [crash], soundPartIds: [], soundRequestHashes: [] })
    this.options.reporter.addCrashes([this.addRounds(crash)])
  }

  /** Gives an undecided trial back, so that another request can be sent in its place. */
  async endTrial ({ kind, id, crashCount, key }: SuspectTrial): Promise<void> {
    const refusal = this.getRecords(kind).findRefusal([id], this.readNowMs())
    if (refusal?.crashCount !== crashCount) return
    this.claimedUntilMs.delete(key)
    this.ownClaims.delete(key)
    try {
      await this.options.store.writeConditionally({ conditions: [], writes: [], removals: [key] })
    } catch (error) {
      const reason = (error as Error).message
      this.options.logger.recordWarning('trial not given back; it ends with its lease', { kind, id, reason })
    }
  }

  /** Applies all reports in the store, except those that were applied before. */
  applySnapshot (items: readonly StoreItem[], cause: SnapshotCause): void {
    if (cause === 'restore') {
      this.parts.setReportsLost()
      this.requests.setReportsLost()
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
      this.applyEvidence(report)
    }
  }

  /** Applies evidence and logs what is refused because of it. */
  private applyEvidence ({ crashes, soundPartIds, soundRequestHashes }: CrashReport): void {
    const nowMs = this.readNowMs()
    const partIds = [...new Set(crashes.flatMap(crash => crash.partIds))]
    const hashes = [...new Set(crashes.flatMap(({ requestHash }) => requestHash === undefined ? [] : [requestHash]))]
    const listRefused = (): readonly SuspectRefusal[] => [
      ...partIds.map(id => this.parts.findRefusal([id], nowMs)),
      ...hashes.map(hash => this.requests.findRefusal([hash], nowMs))
    ].filter(refusal => refusal !== undefined)
    const known = new Set(listRefused().map(({ id }) => id))
    const partCrashes = crashes.map(crash => ({ ...crash, ids: crash.partIds, rounds: crash.partRounds }))
    this.parts.applyReport({ crashes: partCrashes, soundIds: soundPartIds }, nowMs)
    const requestCrashes = crashes.map(({ instance, requestHash, requestRounds = 0 }) => {
      return { instance, ids: requestHash === undefined ? [] : [requestHash], rounds: [requestRounds] }
    })
    this.requests.applyReport({ crashes: requestCrashes, soundIds: soundRequestHashes }, nowMs)
    for (const { kind, id, crashCount, trialInMs } of listRefused()) {
      if (known.has(id)) continue
      const fields = { crashes: crashCount, trialInMs: Math.round(trialInMs) }
      this.options.metrics.addCount(kind === 'part' ? 'prompt_parts_refused' : 'crashing_requests_refused', {})
      if (kind === 'part') this.options.logger.recordWarning('prompt part refused', { part: id, ...fields })
      else this.options.logger.recordWarning('crashing request refused', { requestHash: id, ...fields })
    }
  }

  private getRecords (kind: SuspectKind): SuspectRecords {
    return kind === 'part' ? this.parts : this.requests
  }

  private findLongestRefusal (request: SuspectRequest): SuspectRefusal | undefined {
    const nowMs = this.readNowMs()
    const part = this.parts.findRefusal(request.partIds, nowMs)
    const whole = this.requests.hasSuspects() ? this.requests.findRefusal([request.hash], nowMs) : undefined
    if (part === undefined || whole === undefined) return part ?? whole
    return part.trialInMs > whole.trialInMs ? part : whole
  }

  private reportExpiringCrashes ({ kind, id }: SuspectRefusal): void {
    const crashes = this.getRecords(kind).takeExpiringCrashes(id, this.readNowMs())
    this.options.reporter.addCrashes(crashes.map(({ instance, requestHash }) => {
      const suspects = kind === 'part' ? { partIds: [id], requestHash } : { partIds: [], requestHash: id }
      return this.addRounds({ instance, ...suspects })
    }))
  }

  /** Adds what a host that has just started cannot find out: it learns of all crashes at the same time. */
  private addRounds (crash: UpstreamCrash): UpstreamCrash {
    const { partIds, requestHash } = crash
    return {
      ...crash,
      partRounds: partIds.map(id => this.parts.countRounds(id)),
      requestRounds: requestHash === undefined ? undefined : this.requests.countRounds(requestHash)
    }
  }

  private async claimTrial ({ kind, id, crashCount }: SuspectRefusal): Promise<SuspectTrial | undefined> {
    const { store, reporter, claimPrefix, logger } = this.options
    const nowMs = this.readNowMs()
    const name = kind === 'part' ? createHash('sha256').update(id).digest('hex').slice(0, 32) : `request-${id}`
    const key = `${claimPrefix}${name}/${crashCount}`
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
      logger.recordInfo(kind === 'part' ? 'prompt part on trial' : 'request on trial', { id, crashes: crashCount })
      return { kind, id, crashCount, key }
    } catch (error) {
      logger.recordWarning('trial not claimed', { kind, id, reason: (error as Error).message })
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
