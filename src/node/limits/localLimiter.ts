import type { AccountLimiter } from '../../types/accountLimiter.js'
import { computeBurst } from './computeBurst.js'
import { limitConstants } from './constants.js'

interface LocalAccount {
  credit: number
  refused: number
  /** Time at which a caller last waited for credit. */
  lastWaitMs: number
  /** End of the present lease; undefined without one. */
  leaseEndMs: number | undefined
  /** Requests in the present time slot and in the one before. */
  requestCount: number
  previousRequestCount: number
  countingStartMs: number
  demand: number
  lastRequestMs: number
  lastNeed: number
  /** Whether the owner gave much less than was needed: asking again before the period ends is of no use. */
  isExhausted: boolean
  grantedPerSecond: number
  /** Time from which the owner did not answer; undefined while it does. */
  ownerFailedAtMs: number | undefined
  /** Time up to which the host's own share has been added. */
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
  /** Requests a second of the account's contract; undefined without a contract. */
  readonly findRate: (account: string) => number | undefined
  /** Number of hosts that share a contract when no owner answers. */
  readonly countSharingHosts: () => number
}

// Leased parts add up with rounding errors; the last whole request must not be lost to them.
const roundingTolerance = 1e-6

/** The host's own share of each account: leased requests, or contract/n while the owner does not answer. Pure. */
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

  /** Whether a request could be taken now. */
  hasCredit (account: string, nowMs: number): boolean {
    const rate = this.source.findRate(account)
    const state = this.accounts.get(account)
    if (rate === undefined || !state) return false
    this.updateCredit(state, rate, nowMs)
    return state.credit >= 1 - roundingTolerance
  }

  /** Notes that a request is about to be taken, so that the next report asks for it. */
  observeDemand (account: string, nowMs: number): void {
    const state = this.getAccount(account, nowMs)
    state.lastRequestMs = nowMs
    state.lastWaitMs = nowMs
  }

  /** Whether the host should report the account before the period ends. */
  isReportUrgent (account: string): boolean {
    const state = this.accounts.get(account)
    return state !== undefined && !state.isExhausted && state.credit < Math.max(1, state.lastNeed * limitConstants.lowWatermarkShare)
  }

  listAccounts (): readonly string[] {
    return [...this.accounts.keys()]
  }

  /** The report of an account; one without demand for some time is reported once more, with demand 0, and forgotten. */
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
    // Callers that do not wait come again; callers that wait must not leave a request unused at this host.
    const hasWaited = nowMs - state.lastWaitMs <= limitConstants.accountIdleMs
    const wanted = hasWaited || state.refused === 0 ? waiting : Math.max(1, waiting)
    state.refused = 0
    return { account, demandPerSecond: state.demand, returned: this.takeSurplus(state), held: state.credit, waiting: wanted }
  }

  /** Takes over a lease that answers the report sent at `sentAtMs`. */
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

  /** The owner did not answer; once the lease has ended the host uses its own share. */
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

  // Requests of the last one to two report periods; a longer memory would keep requests where demand has gone.
  private updateDemand (state: LocalAccount, nowMs: number): void {
    const slotMs = limitConstants.reportPeriodMs
    const elapsedMs = slotMs + nowMs - state.countingStartMs
    state.demand = Math.max(limitConstants.minDemand, (state.requestCount + state.previousRequestCount) * 1000 / elapsedMs)
  }

  private updateRequestCounts (state: LocalAccount, nowMs: number): void {
    const slots = Math.floor((nowMs - state.countingStartMs) / limitConstants.reportPeriodMs)
    if (slots <= 0) return
    state.previousRequestCount = slots === 1 ? state.requestCount : 0
    state.requestCount = 0
    state.countingStartMs += slots * limitConstants.reportPeriodMs
  }

  // What the host gives back cannot be used here while the report is on its way. A host with little demand gives
  // everything back, because the few requests of a small account are of more use at other hosts.
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
