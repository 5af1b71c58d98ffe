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
  /** Rate of the account's contract in requests per second; undefined without a contract. */
  readonly findRate: (account: string) => number | undefined
  /** Number of hosts that this owner grants for, this one included. */
  readonly countEligibleHosts: (nowMs: number) => number
  /** Number of hosts that share each contract: the listed hosts and the known ones. */
  readonly countSharingHosts: () => number
  readonly isHostAlive: (hostId: string) => boolean
}

/**
 * Budgets of the accounts whose limits this host owns, and the successors of those it has handed over. It performs no
 * I/O; the time is passed in.
 */
export class OwnedBudgets {
  private readonly budgets = new Map<string, AccountBudget>()
  private readonly handovers = new Map<string, { readonly holder: BudgetHolder, readonly atMs: number }>()

  constructor (private readonly source: OwnerSource) {}

  hasBudget (account: string): boolean {
    return this.budgets.has(account)
  }

  /** Adds the budget of an account that no host has used for some time. It starts with a full burst. */
  addFullBudget (account: string, nowMs: number): void {
    const limit = this.computeLimit(account, nowMs)
    if (!limit) return
    this.budgets.set(account, new AccountBudget(limit.burst, nowMs, nowMs))
    this.handovers.delete(account)
  }

  /** Adds a budget whose former owner is gone. Until `unrestrictedAtMs` each reporting host gets at most its own share. */
  addRestrictedBudget (account: string, unrestrictedAtMs: number, nowMs: number): void {
    this.budgets.set(account, new AccountBudget(0, nowMs, unrestrictedAtMs))
    this.handovers.delete(account)
  }

  /** Adds a budget that the former owner has handed over. */
  addTransferredBudget (account: string, formerOwner: string, balance: number, outstanding: number, nowMs: number): void {
    const budget = new AccountBudget(balance, nowMs, nowMs)
    budget.addOutstanding(formatFormerOwner(formerOwner), outstanding, nowMs)
    this.budgets.set(account, budget)
    this.handovers.delete(account)
  }

  /** Number of requests that the host may start during the next lease, in addition to those that it holds. */
  grant (report: OwnerReport, nowMs: number): number {
    const limit = this.computeLimit(report.account, nowMs)
    const budget = this.budgets.get(report.account)
    return limit && budget ? budget.grant(report, limit, nowMs) : 0
  }

  /** Ends the ownership and returns the state to hand over, undefined without a budget. Later reports go to the new owner. */
  removeBudget (account: string, newOwner: BudgetHolder, nowMs: number): { readonly balance: number, readonly outstanding: number } | undefined {
    const limit = this.computeLimit(account, nowMs)
    const state = limit && this.budgets.get(account)?.readState(limit, nowMs)
    this.budgets.delete(account)
    this.handovers.set(account, { holder: newOwner, atMs: nowMs })
    return state
  }

  /** The host that recently took the account over from this one. Membership may not show it as the owner yet. */
  findRecentSuccessor (account: string, nowMs: number): BudgetHolder | undefined {
    const entry = this.handovers.get(account)
    return entry && nowMs - entry.atMs <= limitConstants.handoverRetentionMs ? entry.holder : undefined
  }

  /** The host that last took the account over from this one and may still hold its budget. */
  findLastSuccessor (account: string): BudgetHolder | undefined {
    return this.handovers.get(account)?.holder
  }

  /** Removes idle budgets and old handovers. */
  removeIdle (nowMs: number): void {
    for (const [account, budget] of this.budgets) if (budget.isIdle(nowMs)) this.budgets.delete(account)
    for (const [account, { atMs }] of this.handovers) if (nowMs - atMs > limitConstants.handoverRetentionMs + limitConstants.budgetIdleMs) this.handovers.delete(account)
  }

  // In a partition each side gets a proportional share of the burst as well.
  private computeLimit (account: string, nowMs: number): BudgetLimit | undefined {
    const rate = this.source.findRate(account)
    if (rate === undefined) return undefined
    const sharingHosts = this.source.countSharingHosts()
    const eligibleHosts = this.source.countEligibleHosts(nowMs)
    const burst = Math.max(1, computeBurst(rate) * eligibleHosts / sharingHosts)
    return { hostShare: rate / sharingHosts, eligibleHosts, burst, isHostAlive: this.source.isHostAlive }
  }
}

// Differs from the host id, so that reports of the former owner do not overwrite the requests it leased to others.
function formatFormerOwner (hostId: string): string {
  return `former owner ${hostId}`
}
