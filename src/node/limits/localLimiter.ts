import type { AccountLimiter } from '../../types/accountLimiter.js'
import { computeBurst } from './computeBurst.js'
import { limitConstants } from './constants.js'

interface LocalAccount {
  /** Requests that this host may still take: the unused part of its lease, or of its own share without an owner. */
  credit: number
  /** Requests refused since the last report. */
  refused: number
  /** Time at which a caller last waited for credit. */
  lastWaitMs: number
  /** End of the current lease; undefined without one. */
  leaseEndMs: number | undefined
  /** Requests in the current counting period and in the previous one. */
  requestCount: number
  previousRequestCount: number
  countingStartMs: number
  demand: number
  lastRequestMs: number
  /** Requests expected to be needed at the time of the last lease. */
  lastNeed: number
  /** Whether the owner granted much less than needed, so that another report before the period ends is useless. */
  isExhausted: boolean
  /** Moving average of the granted requests per second. */
  grantedPerSecond: number
  /** Time since which the limit owner has not responded; undefined while it responds. */
  ownerFailedAtMs: number | undefined
  /** Time up to which the host's own share has been credited. */
  refilledAtMs: number
  hasReceivedLease: boolean
}

interface DemandEntry {
  readonly account: string
  readonly demandPerSecond: number
  readonly held: number
  readonly returned: number
  readonly waiting: number
}

interface LocalLimitSource {
  /** Rate of the account's contract in requests per second; undefined without a contract. */
  readonly findRate: (account: string) => number | undefined
  /** Number of hosts that share a contract when no owner responds. */
  readonly countSharingHosts: () => number
}

// Leased amounts accumulate rounding errors, which must not cost the last whole request.
const roundingTolerance = 1e-6

/**
 * Limits each account at this host to its leased requests, or to the contract divided by the hosts while the owner does
 * not respond. It performs no I/O; the time is passed in.
 */
export class LocalLimiter implements AccountLimiter {
  private readonly accounts = new Map<string, LocalAccount>()

  constructor (private readonly source: LocalLimitSource) {}

  take (account: string, nowMs: number): { readonly granted: boolean, readonly retryAfterMs: number } {
    const rate = this.source.findRate(account)
    if (rate === undefined) return { granted: false, retryAfterMs: limitConstants.maxRetryMs }
    const state = this.getAccount(account, nowMs)
    this.updateRequestCounts(state, nowMs)
    state.requestCount++
    state.lastRequestMs = nowMs
    this.updateCredit(state, rate, nowMs)
    if (state.credit < 1 - roundingTolerance) {
      state.refused++
      return { granted: false, retryAfterMs: this.computeRetryAfterMs(state, rate) }
    }
    state.credit = Math.max(0, state.credit - 1)
    return { granted: true, retryAfterMs: 0 }
  }

  /** Whether a request can be taken now. */
  hasCredit (account: string, nowMs: number): boolean {
    const rate = this.source.findRate(account)
    const state = this.accounts.get(account)
    if (rate === undefined || !state) return false
    this.updateCredit(state, rate, nowMs)
    return state.credit >= 1 - roundingTolerance
  }

  /** Records that a request is about to be taken, so that the next report asks for it. */
  observeDemand (account: string, nowMs: number): void {
    const state = this.getAccount(account, nowMs)
    state.lastRequestMs = nowMs
    state.lastWaitMs = nowMs
  }

  /** Whether the host should report the account before the period ends, because its credit runs low. */
  isReportUrgent (account: string): boolean {
    const state = this.accounts.get(account)
    return state !== undefined && !state.isExhausted && state.credit < Math.max(1, state.lastNeed * limitConstants.lowWatermarkShare)
  }

  listAccounts (): readonly string[] {
    return [...this.accounts.keys()]
  }

  /**
   * Creates the report of an account and deducts the credit that it returns. An idle account is reported a last time
   * with demand 0 and removed.
   */
  takeReport (account: string, waiting: number, nowMs: number): DemandEntry | undefined {
    const state = this.accounts.get(account)
    const rate = this.source.findRate(account)
    if (!state) return undefined
    if (rate === undefined || nowMs - state.lastRequestMs > limitConstants.accountIdleMs) {
      this.accounts.delete(account)
      return { account, demandPerSecond: 0, held: 0, returned: state.credit, waiting: 0 }
    }
    this.updateCredit(state, rate, nowMs)
    this.updateRequestCounts(state, nowMs)
    this.updateDemand(state, nowMs)
    // Refused callers that do not wait will retry, so at least one request is asked for. With callers that wait, only
    // the waiting requests are asked for, so that none remains unused at this host.
    const hasWaited = nowMs - state.lastWaitMs <= limitConstants.accountIdleMs
    const wanted = hasWaited || state.refused === 0 ? waiting : Math.max(1, waiting)
    state.refused = 0
    return { account, demandPerSecond: state.demand, returned: this.takeSurplus(state), held: state.credit, waiting: wanted }
  }

  /** Applies the lease that was granted for the report sent at `sentAtMs`. */
  applyLease (account: string, amount: number, durationMs: number, sentAtMs: number, nowMs: number): void {
    const state = this.accounts.get(account)
    if (!state) return
    const endMs = sentAtMs + durationMs
    if (endMs <= nowMs) return
    const expected = state.demand * limitConstants.leaseHorizonMs / 1000
    state.credit += amount
    state.leaseEndMs = endMs
    state.ownerFailedAtMs = undefined
    state.hasReceivedLease = true
    state.lastNeed = expected + 2 * Math.sqrt(expected) + 1
    state.isExhausted = amount < 1 || (amount > limitConstants.smallGrantRequests && amount < state.lastNeed / 2)
    state.grantedPerSecond = 0.7 * state.grantedPerSecond + 0.3 * amount * 1000 / limitConstants.reportPeriodMs
  }

  /** Records that the owner did not respond. After the end of its lease the host uses its own share. */
  onReportFailed (account: string, nowMs: number): void {
    const state = this.accounts.get(account)
    if (state) state.ownerFailedAtMs ??= nowMs
  }

  private getAccount (account: string, nowMs: number): LocalAccount {
    const known = this.accounts.get(account)
    if (known) return known
    const state: LocalAccount = {
      credit: 0,
      refused: 0,
      lastWaitMs: -Infinity,
      leaseEndMs: undefined,
      requestCount: 0,
      previousRequestCount: 0,
      countingStartMs: nowMs,
      demand: 0,
      lastRequestMs: nowMs,
      lastNeed: 1,
      isExhausted: false,
      grantedPerSecond: 0,
      ownerFailedAtMs: undefined,
      refilledAtMs: nowMs,
      hasReceivedLease: false
    }
    this.accounts.set(account, state)
    return state
  }

  private updateCredit (state: LocalAccount, rate: number, nowMs: number): void {
    if (state.leaseEndMs !== undefined && nowMs > state.leaseEndMs) {
      state.credit = 0
      state.refilledAtMs = state.leaseEndMs
      state.leaseEndMs = undefined
    }
    if (state.leaseEndMs !== undefined || state.ownerFailedAtMs === undefined) return
    const fromMs = Math.max(state.ownerFailedAtMs, state.refilledAtMs)
    const hosts = Math.max(1, this.source.countSharingHosts())
    const cap = Math.max(1, computeBurst(rate) / hosts)
    state.credit = Math.min(cap, state.credit + rate / hosts * Math.max(0, nowMs - fromMs) / 1000)
    state.refilledAtMs = nowMs
  }

  // Averages over the last one to two report periods. A longer window would keep credit where demand has ended.
  private updateDemand (state: LocalAccount, nowMs: number): void {
    const periodMs = limitConstants.reportPeriodMs
    const elapsedMs = periodMs + nowMs - state.countingStartMs
    state.demand = Math.max(limitConstants.minDemand, (state.requestCount + state.previousRequestCount) * 1000 / elapsedMs)
  }

  private updateRequestCounts (state: LocalAccount, nowMs: number): void {
    const periods = Math.floor((nowMs - state.countingStartMs) / limitConstants.reportPeriodMs)
    if (periods <= 0) return
    state.previousRequestCount = periods === 1 ? state.requestCount : 0
    state.requestCount = 0
    state.countingStartMs += periods * limitConstants.reportPeriodMs
  }

  // Returned credit cannot be used here while the report is in transit. A host with little demand returns everything,
  // because the few requests of a small account are more useful at other hosts.
  private takeSurplus (state: LocalAccount): number {
    const expected = state.demand * limitConstants.leaseHorizonMs / 1000
    const kept = expected < 1 ? 0 : Math.ceil(expected + 2 * Math.sqrt(expected))
    const returned = Math.max(0, state.credit - kept)
    state.credit -= returned
    return returned
  }

  private computeRetryAfterMs (state: LocalAccount, rate: number): number {
    if (!state.hasReceivedLease) return limitConstants.minRetryMs
    const perSecond = Math.max(rate / Math.max(1, this.source.countSharingHosts()), state.grantedPerSecond)
    const waitMs = Math.ceil((1 - state.credit) * 1000 / perSecond)
    return Math.min(limitConstants.maxRetryMs, Math.max(limitConstants.minRetryMs, waitMs))
  }
}
