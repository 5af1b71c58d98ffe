import type { AccountLimiter } from '../../types/accountLimiter.js'
import { computeBurst } from './computeBurst.js'
import { limitConstants } from './constants.js'

interface LocalAccount {
  tokens: number
  refused: number
  /** Time at which a caller last waited for credit. */
  waitedAtMs: number
  /** End of the present lease; undefined without one. */
  leaseEndMs: number | undefined
  /** Requests in the present time slot and in the one before. */
  asked: number
  askedBefore: number
  slotAtMs: number
  demand: number
  lastAskedMs: number
  lastNeed: number
  /** Whether the owner gave much less than was needed: asking again before the period ends is of no use. */
  isExhausted: boolean
  grantedPerSecond: number
  /** Time from which the owner did not answer; undefined while it does. */
  failedAtMs: number | undefined
  /** Time up to which the host's own share has been added. */
  filledAtMs: number
  isAnswered: boolean
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
  readonly countHosts: () => number
}

// Leased parts add up with rounding errors; the last whole request must not be lost to them.
const roundingSlack = 1e-6

/** The host's own share of each account: leased requests, or contract/n while the owner does not answer. Pure. */
export class LocalLimiter implements AccountLimiter {
  private readonly accounts = new Map<string, LocalAccount>()

  constructor (private readonly source: LocalLimitSource) {}

  take (account: string, nowMs: number): { readonly granted: boolean, readonly retryAfterMs: number } {
    const rate = this.source.findRate(account)
    if (rate === undefined) return { granted: false, retryAfterMs: limitConstants.maxRetryMs }
    const state = this.getAccount(account, nowMs)
    this.updateSlot(state, nowMs)
    state.asked++
    state.lastAskedMs = nowMs
    this.updateTokens(state, rate, nowMs)
    if (state.tokens < 1 - roundingSlack) {
      state.refused++
      return { granted: false, retryAfterMs: this.computeRetry(state, rate) }
    }
    state.tokens = Math.max(0, state.tokens - 1)
    return { granted: true, retryAfterMs: 0 }
  }

  /** Whether a request could be taken now. */
  hasToken (account: string, nowMs: number): boolean {
    const rate = this.source.findRate(account)
    const state = this.accounts.get(account)
    if (rate === undefined || !state) return false
    this.updateTokens(state, rate, nowMs)
    return state.tokens >= 1 - roundingSlack
  }

  /** Notes that a request is about to be taken, so that the next report asks for it. */
  observeDemand (account: string, nowMs: number): void {
    const state = this.getAccount(account, nowMs)
    state.lastAskedMs = nowMs
    state.waitedAtMs = nowMs
  }

  /** Whether the host should report the account before the period ends. */
  isShort (account: string): boolean {
    const state = this.accounts.get(account)
    return state !== undefined && !state.isExhausted && state.tokens < Math.max(1, state.lastNeed * limitConstants.lowWaterShare)
  }

  listAccounts (): readonly string[] {
    return [...this.accounts.keys()]
  }

  /** The report of an account; one without demand for some time is reported once more, with demand 0, and forgotten. */
  takeReport (account: string, waiting: number, nowMs: number): DemandEntry | undefined {
    const state = this.accounts.get(account)
    const rate = this.source.findRate(account)
    if (!state) return undefined
    if (rate === undefined || nowMs - state.lastAskedMs > limitConstants.idleMs) {
      this.accounts.delete(account)
      return { account, demandPerSecond: 0, held: 0, returned: state.tokens, waiting: 0 }
    }
    this.updateTokens(state, rate, nowMs)
    this.updateSlot(state, nowMs)
    this.updateDemand(state, nowMs)
    // Callers that do not wait come again; callers that wait must not leave a request unused at this host.
    const hasWaited = nowMs - state.waitedAtMs <= limitConstants.idleMs
    const wanted = hasWaited || state.refused === 0 ? waiting : Math.max(1, waiting)
    state.refused = 0
    return { account, demandPerSecond: state.demand, returned: this.takeSurplus(state), held: state.tokens, waiting: wanted }
  }

  /** Takes over a lease that answers the report sent at `sentAtMs`. */
  applyLease (account: string, amount: number, durationMs: number, sentAtMs: number, nowMs: number): void {
    const state = this.accounts.get(account)
    if (!state) return
    const endMs = sentAtMs + durationMs
    if (endMs <= nowMs) return
    const expected = state.demand * limitConstants.horizonMs / 1000
    state.tokens += amount
    state.leaseEndMs = endMs
    state.failedAtMs = undefined
    state.isAnswered = true
    state.lastNeed = expected + 2 * Math.sqrt(expected) + 1
    state.isExhausted = amount < 1 || (amount > limitConstants.fewRequests && amount < state.lastNeed / 2)
    state.grantedPerSecond = 0.7 * state.grantedPerSecond + 0.3 * amount * 1000 / limitConstants.reportPeriodMs
  }

  /** The owner did not answer; once the lease has ended the host uses its own share. */
  onReportFailed (account: string, nowMs: number): void {
    const state = this.accounts.get(account)
    if (state) state.failedAtMs ??= nowMs
  }

  private getAccount (account: string, nowMs: number): LocalAccount {
    const known = this.accounts.get(account)
    if (known) return known
    const state: LocalAccount = {
      tokens: 0,
      refused: 0,
      waitedAtMs: -Infinity,
      leaseEndMs: undefined,
      asked: 0,
      askedBefore: 0,
      slotAtMs: nowMs,
      demand: 0,
      lastAskedMs: nowMs,
      lastNeed: 1,
      isExhausted: false,
      grantedPerSecond: 0,
      failedAtMs: undefined,
      filledAtMs: nowMs,
      isAnswered: false
    }
    this.accounts.set(account, state)
    return state
  }

  private updateTokens (state: LocalAccount, rate: number, nowMs: number): void {
    if (state.leaseEndMs !== undefined && nowMs > state.leaseEndMs) {
      state.tokens = 0
      state.filledAtMs = state.leaseEndMs
      state.leaseEndMs = undefined
    }
    if (state.leaseEndMs !== undefined || state.failedAtMs === undefined) return
    const fromMs = Math.max(state.failedAtMs, state.filledAtMs)
    const hosts = Math.max(1, this.source.countHosts())
    const cap = Math.max(1, computeBurst(rate) / hosts)
    state.tokens = Math.min(cap, state.tokens + rate / hosts * Math.max(0, nowMs - fromMs) / 1000)
    state.filledAtMs = nowMs
  }

  // Requests of the last one to two report periods; a longer memory would keep requests where demand has gone.
  private updateDemand (state: LocalAccount, nowMs: number): void {
    const slotMs = limitConstants.reportPeriodMs
    const elapsedMs = slotMs + nowMs - state.slotAtMs
    state.demand = Math.max(limitConstants.minDemand, (state.asked + state.askedBefore) * 1000 / elapsedMs)
  }

  private updateSlot (state: LocalAccount, nowMs: number): void {
    const slots = Math.floor((nowMs - state.slotAtMs) / limitConstants.reportPeriodMs)
    if (slots <= 0) return
    state.askedBefore = slots === 1 ? state.asked : 0
    state.asked = 0
    state.slotAtMs += slots * limitConstants.reportPeriodMs
  }

  // What the host gives back cannot be used here while the report is on its way. A host with little demand gives
  // everything back, because the few requests of a small account are of more use at other hosts.
  private takeSurplus (state: LocalAccount): number {
    const expected = state.demand * limitConstants.horizonMs / 1000
    const kept = expected < 1 ? 0 : Math.ceil(expected + 2 * Math.sqrt(expected))
    const returned = Math.max(0, state.tokens - kept)
    state.tokens -= returned
    return returned
  }

  private computeRetry (state: LocalAccount, rate: number): number {
    if (!state.isAnswered) return limitConstants.firstRetryMs
    const perSecond = Math.max(rate / Math.max(1, this.source.countHosts()), state.grantedPerSecond)
    const waitMs = Math.ceil((1 - state.tokens) * 1000 / perSecond)
    return Math.min(limitConstants.maxRetryMs, Math.max(limitConstants.firstRetryMs, waitMs))
  }
}
