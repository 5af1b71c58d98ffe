import { peerMethods } from '../peers/peerMethods.js'
import type { Clock } from '../../types/clock.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { RateLease } from '../../types/rateLease.js'
import { limitConstants } from './constants.js'
import type { LimitMembership } from './limitMembership.js'
import type { OwnedBudgets } from './ownedBudgets.js'

type ReportMessage = ReturnType<typeof peerMethods.rateReport.decodeRequest>
type ReportResponse = ReturnType<typeof peerMethods.rateReport.decodeResponse>
type ReportEntry = NonNullable<ReportMessage['entries']>[number]

interface BudgetHolder {
  readonly id: string
  readonly peerAddress: string
}

/**
 * Handles the reports for accounts whose limits this host owns. A new owner takes the budget over from the former
 * owner, which forwards the reports that still arrive there, so that one host at a time grants the account's rate.
 */
export class LimitOwnerService {
  private readonly takeovers = new Map<string, Promise<void>>()

  constructor (private readonly budgets: OwnedBudgets, private readonly limitMembership: LimitMembership, private readonly membership: MembershipView, private readonly transport: PeerTransport, private readonly clock: Clock) {
    transport.handle(peerMethods.rateReport, async (request, peerId) => {
      if (request.takeover === true) return await this.receiveTakeover(request, peerId)
      return { leases: [...await this.receiveReport(request, peerId)] }
    })
  }

  /** Returns the leases for a report of `peerId`, or for one that `peerId` forwards. */
  async receiveReport (request: ReportMessage, peerId: string): Promise<readonly RateLease[]> {
    const isForwarded = request.forwarded === true
    const hostId = isForwarded ? request.hostId ?? peerId : peerId
    const own: ReportEntry[] = []
    const others = new Map<string, ReportEntry[]>()
    for (const entry of request.entries ?? []) {
      const owner = this.findOwner(entry.account ?? '')
      if (owner.id === this.membership.getSelf().id || isForwarded) own.push(entry)
      else others.set(owner.peerAddress, [...others.get(owner.peerAddress) ?? [], entry])
    }
    const forwardedLeases = [...others].map(async ([address, entries]) => await this.sendForwardedReport(address, { ...request, hostId, entries }))
    await Promise.all(own.map(async entry => { await this.startBudget(entry.account ?? '') }))
    const leases = own.map(entry => this.grantEntry(entry, hostId, request.sequence ?? 0))
    return leases.concat(...await Promise.all(forwardedLeases))
  }

  removeIdle (nowMs: number): void {
    this.budgets.removeIdle(nowMs)
  }

  private findOwner (account: string): BudgetHolder {
    // The hosts' membership views differ for a moment after each change. The host that has the budget handles the
    // report, so that the account does not move back and forth.
    const self = this.membership.getSelf()
    if (this.budgets.hasBudget(account)) return self
    const holder = this.budgets.findRecentSuccessor(account, this.clock.readMonotonicMs())
    const state = holder && this.membership.find(holder.id)?.state
    if (holder && state !== 'leaving' && state !== 'dead') return holder
    return this.membership.find(this.limitMembership.findOwner(account)) ?? self
  }

  private grantEntry (entry: ReportEntry, hostId: string, sequence: number): RateLease {
    const account = entry.account ?? ''
    const report = { account, hostId, demand: entry.demandPerSecond ?? 0, held: entry.held ?? 0, returned: entry.returned ?? 0, waiting: entry.waiting ?? 0, sequence }
    const amount = this.budgets.grant(report, this.clock.readMonotonicMs())
    return { account, requestsPerSecond: amount * 1000 / limitConstants.leaseMs, durationMs: limitConstants.leaseMs }
  }

  private async sendForwardedReport (address: string, request: ReportMessage): Promise<readonly RateLease[]> {
    const response = await this.transport.send(address, peerMethods.rateReport, { ...request, forwarded: true }, limitConstants.takeoverTimeoutMs).catch(() => undefined)
    return (response?.leases ?? []).map(lease => ({ account: lease.account ?? '', requestsPerSecond: lease.requestsPerSecond ?? 0, durationMs: lease.durationMs ?? 0 }))
  }

  // Ensures that this host has a budget of the account. Reports that arrive during a takeover wait for it.
  private async startBudget (account: string): Promise<void> {
    if (this.budgets.hasBudget(account)) return
    const nowMs = this.clock.readMonotonicMs()
    if (this.limitMembership.isStable(nowMs)) {
      this.budgets.addFullBudget(account, nowMs)
      return
    }
    const running = this.takeovers.get(account) ?? this.runTakeover(account).finally(() => { this.takeovers.delete(account) })
    this.takeovers.set(account, running)
    await running
  }

  private async runTakeover (account: string): Promise<void> {
    const formerHolder = this.findFormerHolder(account, this.membership.getSelf().id)
    let response: ReportResponse | undefined
    if (formerHolder) {
      const { id, peerAddress } = this.membership.getSelf()
      const request = { hostId: id, peerAddress, entries: [{ account }], takeover: true }
      response = await this.transport.send(formerHolder.peerAddress, peerMethods.rateReport, request, limitConstants.takeoverTimeoutMs).catch(() => undefined)
    }
    const nowMs = this.clock.readMonotonicMs()
    const transferred = response?.balances?.[0]
    const settledMs = this.limitMembership.findOwnerDeathSettledMs(account, nowMs)
    if (formerHolder && transferred) this.budgets.addTransferredBudget(account, formerHolder.id, transferred.balance ?? 0, transferred.outstanding ?? 0, nowMs)
    else if (formerHolder && !response) this.budgets.addRestrictedBudget(account, nowMs + this.limitMembership.computeSettleMs(), nowMs)
    else if (settledMs !== undefined) this.budgets.addRestrictedBudget(account, settledMs, nowMs)
    else this.budgets.addFullBudget(account, nowMs)
  }

  // A host that joined recently may not know the former owner and ask another host, which forwards the request.
  private async receiveTakeover (request: ReportMessage, peerId: string): Promise<ReportResponse> {
    const isForwarded = request.forwarded === true
    const newOwner = { id: isForwarded ? request.hostId ?? peerId : peerId, peerAddress: request.peerAddress ?? '' }
    const account = request.entries?.[0]?.account ?? ''
    const holder = this.findFormerHolder(account, newOwner.id)
    const isHeldHere = this.budgets.hasBudget(account) || isForwarded || holder === undefined || holder.id === this.membership.getSelf().id
    const state = this.budgets.removeBudget(account, newOwner, this.clock.readMonotonicMs())
    if (isHeldHere) return { balances: state ? [{ account, ...state }] : [] }
    const forwardedRequest = { hostId: newOwner.id, peerAddress: newOwner.peerAddress, entries: [{ account }], takeover: true, forwarded: true }
    return await this.transport.send(holder.peerAddress, peerMethods.rateReport, forwardedRequest, limitConstants.takeoverTimeoutMs)
  }

  // Prefers the host that last took the account over from this one, otherwise the owner chosen without the new one.
  private findFormerHolder (account: string, newOwner: string): BudgetHolder | undefined {
    const last = this.budgets.findLastSuccessor(account)
    const isUsable = last && last.id !== newOwner && this.membership.find(last.id)?.state !== 'dead'
    return isUsable ? last : this.limitMembership.findFormerOwner(account, newOwner)
  }
}
