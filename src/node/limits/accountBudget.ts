import { limitConstants } from './constants.js'

interface HostShare {
  held: number
  demand: number
  expiresAtMs: number
  sequence: number
}

interface BudgetLimit {
  /** Requests a second that belong to each host: the contract divided by the listed hosts. */
  readonly hostShare: number
  /** Hosts that this owner grants for; fewer than the listed ones in a partition. */
  readonly eligibleHosts: number
  /** Requests that may be leased or saved up at one time by this owner. */
  readonly burst: number
  readonly isHostAlive: (hostId: string) => boolean
}

interface HostReport {
  readonly hostId: string
  readonly demand: number
  readonly held: number
  readonly returned: number
  readonly waiting: number
  readonly sequence: number
}

/**
 * Requests of one account that its limit owner may still lease. Leased and saved requests together never
 * exceed the burst, so that no window gets more than the burst and the rate. Pure.
 */
export class AccountBudget {
  private readonly shares = new Map<string, HostShare>()
  private lastUsedMs: number

  /**
   * @param balance requests that may be leased at once
   * @param unrestrictedAtMs until then only the shares of the reporting hosts are granted, because others may still
   * use what a former owner leased or their share without an owner
   */
  constructor (private balance: number, private filledAtMs: number, private readonly unrestrictedAtMs: number) {
    this.lastUsedMs = filledAtMs
  }

  /** Number of requests that the host may start in the next lease time, beyond those that it holds. */
  grant (report: HostReport, limit: BudgetLimit, nowMs: number): number {
    const known = this.shares.get(report.hostId)
    if (known && known.sequence >= report.sequence) return 0
    this.lastUsedMs = nowMs
    this.updateBalance(limit, nowMs)
    const share = { held: report.held, demand: report.demand, expiresAtMs: nowMs + limitConstants.leaseMs, sequence: report.sequence }
    this.shares.set(report.hostId, share)
    const room = limit.burst - this.countOutstanding(nowMs)
    this.balance = Math.min(this.balance + report.returned, Math.max(0, room))
    const amount = this.computeGrant(report, limit, nowMs)
    this.balance -= amount
    share.held += amount
    return amount
  }

  /** What a new owner takes over. */
  readState (limit: BudgetLimit, nowMs: number): { readonly balance: number, readonly outstanding: number } {
    this.updateBalance(limit, nowMs)
    return { balance: this.balance, outstanding: this.countOutstanding(nowMs) }
  }

  /** Counts requests that a former owner leased and that may still be used for one lease time. */
  addOutstanding (hostId: string, held: number, nowMs: number): void {
    this.shares.set(hostId, { held, demand: 0, expiresAtMs: nowMs + limitConstants.leaseMs, sequence: -1 })
  }

  isIdle (nowMs: number): boolean {
    return nowMs - this.lastUsedMs > limitConstants.budgetIdleMs
  }

  private updateBalance (limit: BudgetLimit, nowMs: number): void {
    let silent = 0
    let reporting = 0
    for (const [hostId, share] of this.shares) {
      if (share.expiresAtMs >= nowMs) {
        if (share.demand > 0) reporting++
      } else if (share.demand > 0 && limit.isHostAlive(hostId) && nowMs - share.expiresAtMs < limitConstants.silentHostMs) {
        // A host with demand that no longer reports uses its own share by now. A dead one uses nothing, and
        // the hosts of this side already leave it out.
        silent++
      } else this.shares.delete(hostId)
    }
    const hosts = this.filledAtMs >= this.unrestrictedAtMs ? limit.eligibleHosts - silent : Math.min(reporting, limit.eligibleHosts)
    const rate = Math.max(0, hosts) * limit.hostShare
    const room = Math.max(0, limit.burst - this.countOutstanding(nowMs))
    this.balance = Math.min(room, this.balance + rate * Math.max(0, nowMs - this.filledAtMs) / 1000)
    this.filledAtMs = Math.max(this.filledAtMs, nowMs)
  }

  private countOutstanding (nowMs: number): number {
    let sum = 0
    for (const share of this.shares.values()) if (share.expiresAtMs >= nowMs) sum += share.held
    return sum
  }

  // In proportion to demand, in whole requests, because parts of one are of no use at different hosts. Requests
  // that wait go first, and those of a small account are the only ones: it has too few to keep some at every host.
  private computeGrant (report: HostReport, limit: BudgetLimit, nowMs: number): number {
    const available = Math.floor(this.balance + 1e-9)
    if (report.demand <= 0 || available <= 0) return 0
    const expected = report.demand * limitConstants.leaseHorizonMs / 1000
    const need = Math.max(report.waiting, Math.ceil(expected + 2 * Math.sqrt(expected) - report.held), 0)
    let total = 0
    for (const share of this.shares.values()) if (share.expiresAtMs >= nowMs) total += share.demand
    const isSmall = limit.burst < limitConstants.smallGrantRequests
    const part = isSmall ? 0 : Math.floor(available * Math.min(limitConstants.maxGrantShare, 2 * report.demand / total))
    return Math.min(available, need, Math.max(part, report.waiting))
  }
}
