import { peerMethods } from '../peers/peerMethods.js'
import { scheduleRepeatedly } from '../../shared/scheduleRepeatedly.js'
import type { AccountLimiter } from '../../types/accountLimiter.js'
import type { Clock } from '../../types/clock.js'
import type { ContractView } from '../../types/contractView.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { RateLease } from '../../types/rateLease.js'
import type { Scheduler } from '../../types/scheduler.js'
import { limitConstants } from './constants.js'
import { LimitMembership } from './limitMembership.js'
import { OwnedBudgets } from './ownedBudgets.js'
import { LimitOwnerService } from './limitOwnerService.js'
import { LocalLimiter } from './localLimiter.js'

interface LimitParts {
  readonly contracts: ContractView
  readonly membership: MembershipView & { listHostListIds (): readonly string[] }
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly metrics: Metrics
}

/** A caller of `waitForCredit`. */
interface CreditWaiter {
  readonly sinceMs: number
  readonly onResponse: () => void
}

/** State of the reports to one limit owner. */
interface OwnerLink {
  isReportInFlight: boolean
  isReportScheduled: boolean
  lastReportMs: number
}

/**
 * Limits accounts across hosts. Reports this host's demand to the limit owners, applies their leases, and handles
 * the reports of other hosts for the accounts that this host owns.
 */
export class LimitDriver implements AccountLimiter {
  private readonly limitMembership: LimitMembership
  private readonly local: LocalLimiter
  private readonly ownerService: LimitOwnerService
  private readonly ownerLinks = new Map<string, OwnerLink>()
  private readonly waiters = new Map<string, Set<CreditWaiter>>()
  private sequence: number
  private cancels: ReadonlyArray<() => void> = []

  constructor (private readonly parts: LimitParts) {
    const { clock, contracts, membership, transport } = parts
    // Starts above the sequence numbers that this host used before a restart.
    this.sequence = Math.round(clock.readWallMs()) * 1000
    const limitMembership = new LimitMembership(membership, clock.readMonotonicMs())
    this.limitMembership = limitMembership
    const findRate = (account: string): number | undefined => contracts.find(account)?.contract?.requestsPerSecond
    const countSharingHosts = (): number => limitMembership.countSharingHosts()
    this.local = new LocalLimiter({ findRate, countSharingHosts })
    const budgets = new OwnedBudgets({ findRate, countSharingHosts, countEligibleHosts: nowMs => limitMembership.countEligibleHosts(nowMs), isHostAlive: hostId => limitMembership.isHostAlive(hostId) })
    this.ownerService = new LimitOwnerService(budgets, limitMembership, membership, transport, clock)
  }

  start (): void {
    const { scheduler, random, membership, clock } = this.parts
    this.cancels = [
      membership.onChange(host => { this.limitMembership.observeChange(host, clock.readMonotonicMs()) }),
      scheduleRepeatedly(scheduler, random, limitConstants.reportPeriodMs, 0.1, () => { this.sendPeriodicReports() })
    ]
  }

  stop (): void {
    for (const cancel of this.cancels) cancel()
  }

  take (account: string, nowMs: number): { readonly granted: boolean, readonly retryAfterMs: number } {
    const result = this.local.take(account, nowMs)
    this.parts.metrics.addCount('limit_takes_total', { granted: String(result.granted) })
    if (this.local.isReportUrgent(account)) this.scheduleReport(this.limitMembership.findOwner(account), limitConstants.minReportGapMs)
    return result
  }

  /**
   * Resolves when a request of the account can be taken, when the owner has responded without granting one, or
   * after `limitMs`. Called before `take`, so that the first request of an idle account is not refused only
   * because this host holds no lease yet.
   */
  async waitForCredit (account: string, limitMs: number): Promise<void> {
    const nowMs = this.parts.clock.readMonotonicMs()
    if (this.local.hasCredit(account, nowMs) || this.parts.contracts.find(account) === undefined) return
    this.local.observeDemand(account, nowMs)
    await new Promise<void>(resolve => {
      const waiters = this.waiters.get(account) ?? new Set()
      const onResponse = (): void => {
        cancel()
        waiters.delete(waiter)
        resolve()
      }
      const waiter = { sinceMs: nowMs, onResponse }
      const cancel = this.parts.scheduler.schedule(limitMs, onResponse)
      this.waiters.set(account, waiters.add(waiter))
      this.scheduleReport(this.limitMembership.findOwner(account), limitConstants.minWaitingReportGapMs)
    })
  }

  private sendPeriodicReports (): void {
    const nowMs = this.parts.clock.readMonotonicMs()
    this.ownerService.removeIdle(nowMs)
    const owners = new Set(this.local.listAccounts().map(account => this.limitMembership.findOwner(account)))
    for (const owner of owners) {
      const link = this.getLink(owner)
      // A report sent within the last half period takes the place of this one.
      if (nowMs - link.lastReportMs >= limitConstants.reportPeriodMs * 0.5) this.sendReport(owner, link).catch(() => {})
    }
    for (const owner of this.ownerLinks.keys()) if (!this.limitMembership.isHostAlive(owner)) this.ownerLinks.delete(owner)
  }

  // Schedules a report before the period ends, at least `gapMs` after the previous one.
  private scheduleReport (owner: string, gapMs: number): void {
    const link = this.getLink(owner)
    if (link.isReportScheduled || link.isReportInFlight) return
    link.isReportScheduled = true
    const sinceMs = this.parts.clock.readMonotonicMs() - link.lastReportMs
    const delayMs = Math.max(limitConstants.reportBatchDelayMs, gapMs - sinceMs)
    this.parts.scheduler.schedule(delayMs, () => {
      link.isReportScheduled = false
      this.sendReport(owner, link).catch(() => {})
    })
  }

  private async sendReport (owner: string, link: OwnerLink): Promise<void> {
    if (link.isReportInFlight) return
    const { clock, membership, transport } = this.parts
    const sentAtMs = clock.readMonotonicMs()
    link.lastReportMs = sentAtMs
    const accounts = this.local.listAccounts().filter(account => this.limitMembership.findOwner(account) === owner)
    const entries = accounts.flatMap(account => this.local.takeReport(account, this.waiters.get(account)?.size ?? 0, sentAtMs) ?? [])
    if (entries.length === 0) return
    const self = membership.getSelf().id
    const request = { hostId: self, entries, sequence: ++this.sequence }
    link.isReportInFlight = true
    try {
      const leases = owner === self
        ? await this.ownerService.receiveReport({ ...request, forwarded: false }, self)
        : parseLeases(await transport.send(membership.find(owner)?.peerAddress ?? '', peerMethods.rateReport, request, limitConstants.reportTimeoutMs))
      this.applyLeases(accounts, leases, sentAtMs)
    } catch {
      for (const account of accounts) this.local.onReportFailed(account, clock.readMonotonicMs())
    } finally {
      link.isReportInFlight = false
      for (const account of accounts) this.resolveWaiters(account, owner, sentAtMs)
    }
  }

  private applyLeases (accounts: readonly string[], leases: readonly RateLease[], sentAtMs: number): void {
    const nowMs = this.parts.clock.readMonotonicMs()
    const leasedAccounts = new Set<string>()
    for (const { account, requestsPerSecond, durationMs } of leases) {
      leasedAccounts.add(account)
      this.local.applyLease(account, requestsPerSecond * durationMs / 1000, durationMs, sentAtMs, nowMs)
    }
    // An owner that does not know yet that it owns the account omits it from the response.
    for (const account of accounts) if (!leasedAccounts.has(account)) this.local.onReportFailed(account, nowMs)
  }

  // Requests that arrived after the report was sent are not covered by its response and wait for the next one.
  private resolveWaiters (account: string, owner: string, sentAtMs: number): void {
    const waiters = this.waiters.get(account)
    if (!waiters) return
    const isCredited = this.local.hasCredit(account, this.parts.clock.readMonotonicMs())
    for (const waiter of [...waiters]) if (isCredited || waiter.sinceMs <= sentAtMs) waiter.onResponse()
    if (waiters.size > 0) this.scheduleReport(owner, limitConstants.minWaitingReportGapMs)
    else this.waiters.delete(account)
  }

  private getLink (owner: string): OwnerLink {
    const known = this.ownerLinks.get(owner)
    if (known) return known
    const link: OwnerLink = { isReportInFlight: false, isReportScheduled: false, lastReportMs: -Infinity }
    this.ownerLinks.set(owner, link)
    return link
  }
}

function parseLeases (response: ReturnType<typeof peerMethods.rateReport.decodeResponse>): readonly RateLease[] {
  return (response.leases ?? []).map(lease => ({
    account: lease.account ?? '',
    requestsPerSecond: lease.requestsPerSecond ?? 0,
    durationMs: lease.durationMs ?? 0
  }))
}
