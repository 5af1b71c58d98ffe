import { limitConstants } from './constants.js'

interface HostLease {
  /** Leased requests that the host may still use. */
  held: number
  demand: number
  expiresAtMs: number
  sequence: number
}

interface BudgetLimit {
  /** Each host's share in requests per second: the contract divided by the hosts that share it. */
  readonly hostShare: number
  /** Hosts that this owner grants for; in a partition, fewer than the hosts that share the contract. */
  readonly eligibleHosts: number
  /** Requests that this owner may have leased or saved up at one time. */
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
 * exceed the burst, so that no window gets more than the burst and the rate. It performs no I/O; the time
 * is passed in.
 */
export class AccountBudget {
  private readonly leases = new Map<string, HostLease>()
  private lastUsedMs: number

  /**
   * @param balance requests that may be leased immediately
   * @param unrestrictedAtMs until then only the shares of the reporting hosts are granted, because other hosts may
   * still use a lease of a former owner, or their own share without an owner
   */
  constructor (private balance: number, private refilledAtMs: number, private readonly unrestrictedAtMs: number) {
    this.lastUsedMs = refilledAtMs
  }

  /**
   * Leases requests to a host. Returns how many it may start during the next lease, in addition to those that it holds;
   * 0 for a report that arrives after a newer one of the same host.
   */
  grant (report: HostReport, limit: BudgetLimit, nowMs: number): number {
    const known = this.leases.get(report.hostId)
    if (known && known.sequence >= report.sequence) return 0
    this.lastUsedMs = nowMs
    this.updateBalance(limit, nowMs)
    const lease = { held: report.held, demand: report.demand, expiresAtMs: nowMs + limitConstants.leaseMs, sequence: report.sequence }
    this.leases.set(report.hostId, lease)
    const headroom = limit.burst - this.countOutstanding(nowMs)
    this.balance = Math.min(this.balance + report.returned, Math.max(0, headroom))
    const amount = this.computeGrant(report, limit, nowMs)
    this.balance -= amount
    lease.held += amount
    return amount
  }

  /** The state that is transferred to a new owner. */
  readState (limit: BudgetLimit, nowMs: number): { readonly balance: number, readonly outstanding: number } {
    this.updateBalance(limit, nowMs)
    return { balance: this.balance, outstanding: this.countOutstanding(nowMs) }
  }

  /** Adds requests that a former owner leased; they may still be used for the duration of one lease. */
  addOutstanding (hostId: string, held: number, nowMs: number): void {
    this.leases.set(hostId, { held, demand: 0, expiresAtMs: nowMs + limitConstants.leaseMs, sequence: -1 })
  }

  isIdle (nowMs: number): boolean {
    return nowMs - this.lastUsedMs > limitConstants.budgetIdleMs
  }

  private updateBalance (limit: BudgetLimit, nowMs: number): void {
    let silentHosts = 0
    let reportingHosts = 0
    for (const [hostId, lease] of this.leases) {
      if (lease.expiresAtMs >= nowMs) {
        if (lease.demand > 0) reportingHosts++
      } else if (lease.demand > 0 && limit.isHostAlive(hostId) && nowMs - lease.expiresAtMs < limitConstants.silentHostMs) {
        // A host with demand that no longer reports uses its own share by now. A dead host uses nothing and is
        // not among the eligible hosts.
        silentHosts++
      } else this.leases.delete(hostId)
    }
    const refillHosts = this.refilledAtMs >= this.unrestrictedAtMs ? limit.eligibleHosts - silentHosts : Math.min(reportingHosts, limit.eligibleHosts)
    const rate = Math.max(0, refillHosts) * limit.hostShare
    const headroom = Math.max(0, limit.burst - this.countOutstanding(nowMs))
    this.balance = Math.min(headroom, this.balance + rate * Math.max(0, nowMs - this.refilledAtMs) / 1000)
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs)
  }

  private countOutstanding (nowMs: number): number {
    let sum = 0
    for (const lease of this.leases.values()) if (lease.expiresAtMs >= nowMs) sum += lease.held
    return sum
  }

  // Grants in proportion to demand and in whole requests, because fractions at different hosts are of no use. Waiting
  // requests come first. A small account is granted waiting requests only, as it has too few to keep some at every host.
  private computeGrant (report: HostReport, limit: BudgetLimit, nowMs: number): number {
    const available = Math.floor(this.balance + 1e-9)
    if (report.demand <= 0 || available <= 0) return 0
    const expected = report.demand * limitConstants.leaseHorizonMs / 1000
    const need = Math.max(report.waiting, Math.ceil(expected + 2 * Math.sqrt(expected) - report.held), 0)
    let totalDemand = 0
    for (const lease of this.leases.values()) if (lease.expiresAtMs >= nowMs) totalDemand += lease.demand
    const isSmallAccount = limit.burst < limitConstants.smallGrantRequests
    const maxGrant = isSmallAccount ? 0 : Math.floor(available * Math.min(limitConstants.maxGrantShare, 2 * report.demand / totalDemand))
    return Math.min(available, need, Math.max(maxGrant, report.waiting))
  }
}
