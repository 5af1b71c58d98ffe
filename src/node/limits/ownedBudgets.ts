import { AccountBudget } from './accountBudget.js'
import { computeBurst } from './computeBurst.js'
import { limitConstants } from './constants.js'

interface OwnerReport {
  readonly account: string
  readonly hostId: string
  readonly demand: number
  readonly held: number
  readonly returned: number
  readonly waiting: number
  readonly sequence: number
}

type BudgetLimit = Parameters<AccountBudget['grant']>[1]

interface BudgetHolder {
  readonly id: string
  readonly peerAddress: string
}

interface OwnerSource {
  /** Requests a second of the account's contract; undefined without a contract. */
  readonly findRate: (account: string) => number | undefined
  /** Hosts that this owner grants for, this one included. */
  readonly countEligibleHosts: (nowMs: number) => number
  /** Hosts that share each contract: those of the host list and those seen. */
  readonly countSharingHosts: () => number
  readonly isHostAlive: (hostId: string) => boolean
}

/** The budgets of the accounts that this host owns, and of those that it has handed over. Pure. */
export class OwnedBudgets {
  private readonly budgets = new Map<string, AccountBudget>()
  private readonly handovers = new Map<string, { readonly holder: BudgetHolder, readonly atMs: number }>()

  constructor (private readonly source: OwnerSource) {}

  hasBudget (account: string): boolean {
    return this.budgets.has(account)
  }

  /** An account that nobody has used for some time starts with a full burst. */
  addFullBudget (account: string, nowMs: number): void {
    const limit = this.computeLimit(account, nowMs)
    if (!limit) return
    this.budgets.set(account, new AccountBudget(limit.burst, nowMs, nowMs))
    this.handovers.delete(account)
  }

  /** The former owner is gone; until `fullAtMs` each reporting host gets at most its own share. */
  addRestrictedBudget (account: string, unrestrictedAtMs: number, nowMs: number): void {
    this.budgets.set(account, new AccountBudget(0, nowMs, unrestrictedAtMs))
    this.handovers.delete(account)
  }

  /** The former owner has handed its budget over. */
  addTransferredBudget (account: string, formerOwner: string, balance: number, outstanding: number, nowMs: number): void {
    const budget = new AccountBudget(balance, nowMs, nowMs)
    budget.addOutstanding(formatFormerOwner(formerOwner), outstanding, nowMs)
    this.budgets.set(account, budget)
    this.handovers.delete(account)
  }

  /** Number of requests that the host may start in the next lease time, beyond those that it holds. */
  grant (report: OwnerReport, nowMs: number): number {
    const limit = this.computeLimit(report.account, nowMs)
    const budget = this.budgets.get(report.account)
    return limit && budget ? budget.grant(report, limit, nowMs) : 0
  }

  /** Ends the ownership; reports that still arrive are passed on to the new owner. Undefined without a budget. */
  removeBudget (account: string, newOwner: BudgetHolder, nowMs: number): { readonly balance: number, readonly outstanding: number } | undefined {
    const limit = this.computeLimit(account, nowMs)
    const state = limit && this.budgets.get(account)?.readState(limit, nowMs)
    this.budgets.delete(account)
    this.handovers.set(account, { holder: newOwner, atMs: nowMs })
    return state
  }

  /** The host that took the account over from this one a short time ago; it may not be known otherwise yet. */
  findRecentSuccessor (account: string, nowMs: number): BudgetHolder | undefined {
    const entry = this.handovers.get(account)
    return entry && nowMs - entry.atMs <= limitConstants.handoverRetentionMs ? entry.holder : undefined
  }

  /** The host that last took the account over from this one, and that may hold its budget. */
  findLastSuccessor (account: string): BudgetHolder | undefined {
    return this.handovers.get(account)?.holder
  }

  /** Forgets what nobody uses any more. */
  removeIdle (nowMs: number): void {
    for (const [account, budget] of this.budgets) if (budget.isIdle(nowMs)) this.budgets.delete(account)
    for (const [account, { atMs }] of this.handovers) if (nowMs - atMs > limitConstants.handoverRetentionMs + limitConstants.budgetIdleMs) this.handovers.delete(account)
  }

  // In a partition the sides share the burst, too.
  private computeLimit (account: string, nowMs: number): BudgetLimit | undefined {
    const rate = this.source.findRate(account)
    if (rate === undefined) return undefined
    const sharingHosts = this.source.countSharingHosts()
    const eligibleHosts = this.source.countEligibleHosts(nowMs)
    const burst = Math.max(1, computeBurst(rate) * eligibleHosts / sharingHosts)
    return { hostShare: rate / sharingHosts, eligibleHosts, burst, isHostAlive: this.source.isHostAlive }
  }
}

// Not a host id, so that the former owner's own reports do not replace what it leased to others.
function formatFormerOwner (hostId: string): string {
  return `former owner ${hostId}`
}
