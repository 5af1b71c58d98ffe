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
  readonly countSeen: (nowMs: number) => number
  /** Hosts that share each contract: those of the host list and those seen. */
  readonly countHosts: () => number
  readonly isHostSeen: (hostId: string) => boolean
}

/** The budgets of the accounts that this host owns, and of those that it has handed over. Pure. */
export class LimitOwner {
  private readonly budgets = new Map<string, AccountBudget>()
  private readonly handedOver = new Map<string, { readonly holder: BudgetHolder, readonly atMs: number }>()

  constructor (private readonly source: OwnerSource) {}

  hasBudget (account: string): boolean {
    return this.budgets.has(account)
  }

  /** An account that nobody has used for some time starts with a full burst. */
  addIdleBudget (account: string, nowMs: number): void {
    const limit = this.computeLimit(account, nowMs)
    if (!limit) return
    this.budgets.set(account, new AccountBudget(limit.burst, nowMs, nowMs))
    this.handedOver.delete(account)
  }

  /** The former owner is gone; until `fullAtMs` each reporting host gets at most its own share. */
  addWaitingBudget (account: string, fullAtMs: number, nowMs: number): void {
    this.budgets.set(account, new AccountBudget(0, nowMs, fullAtMs))
    this.handedOver.delete(account)
  }

  /** The former owner has handed its budget over. */
  addTakenBudget (account: string, formerOwner: string, balance: number, outstanding: number, nowMs: number): void {
    const budget = new AccountBudget(balance, nowMs, nowMs)
    budget.addOutstanding(formatFormerOwner(formerOwner), outstanding, nowMs)
    this.budgets.set(account, budget)
    this.handedOver.delete(account)
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
    this.handedOver.set(account, { holder: newOwner, atMs: nowMs })
    return state
  }

  /** The host that took the account over from this one a short time ago; it may not be known otherwise yet. */
  findNewOwner (account: string, nowMs: number): BudgetHolder | undefined {
    const entry = this.handedOver.get(account)
    return entry && nowMs - entry.atMs <= limitConstants.handedOverMs ? entry.holder : undefined
  }

  /** The host that last took the account over from this one, and that may hold its budget. */
  findLastHolder (account: string): BudgetHolder | undefined {
    return this.handedOver.get(account)?.holder
  }

  /** Forgets what nobody uses any more. */
  removeIdle (nowMs: number): void {
    for (const [account, budget] of this.budgets) if (budget.isIdle(nowMs)) this.budgets.delete(account)
    for (const [account, { atMs }] of this.handedOver) if (nowMs - atMs > limitConstants.handedOverMs + limitConstants.budgetIdleMs) this.handedOver.delete(account)
  }

  // In a partition the sides share the burst, too.
  private computeLimit (account: string, nowMs: number): BudgetLimit | undefined {
    const rate = this.source.findRate(account)
    if (rate === undefined) return undefined
    const known = this.source.countHosts()
    const hosts = this.source.countSeen(nowMs)
    const burst = Math.max(1, computeBurst(rate) * hosts / known)
    return { hostShare: rate / known, hosts, burst, isHostSeen: this.source.isHostSeen }
  }
}

// Not a host id, so that the former owner's own reports do not replace what it leased to others.
function formatFormerOwner (hostId: string): string {
  return `former owner ${hostId}`
}
