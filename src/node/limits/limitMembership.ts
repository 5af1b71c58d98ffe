import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import { limitConstants } from './constants.js'

interface HostListMembershipView extends MembershipView {
  /** Ids of the live hosts in the platform's host list. */
  listHostListIds (): readonly string[]
}

/**
 * Derives from the membership and the host list which host owns an account's limit and how many hosts share it.
 * Times are from the local monotonic clock and are passed in.
 */
export class LimitMembership {
  private owners = new Map<string, string>()
  /** Hosts that died without leaving, with the time at which this host learned of it. */
  private readonly deaths = new Map<string, number>()
  /** Hosts that returned after their death, with the time of their return. */
  private readonly revivals = new Map<string, number>()
  /** Hosts that announced their stop. The host list lags behind and may still contain them. */
  private readonly announcedStops = new Set<string>()
  private changedAtMs: number

  constructor (private readonly membership: HostListMembershipView, startMs: number) {
    this.changedAtMs = startMs
  }

  /** Records a membership change. */
  observeChange (host: HostRecord, nowMs: number): void {
    this.owners = new Map()
    this.changedAtMs = nowMs
    if (host.state === 'leaving') this.announcedStops.add(host.id)
    if (host.state === 'live') {
      this.announcedStops.delete(host.id)
      if (this.deaths.delete(host.id)) this.revivals.set(host.id, nowMs)
    }
    if (host.state === 'dead') {
      this.deaths.set(host.id, nowMs)
      this.revivals.delete(host.id)
    }
  }

  /** The id of the host that owns the account's limit. */
  findOwner (account: string): string {
    const known = this.owners.get(account)
    if (known !== undefined) return known
    const hosts = this.membership.listHosts().filter(host => host.state !== 'leaving').map(host => host.id)
    const owner = chooseByRendezvous(formatKey(account), hosts, 1)[0] ?? this.membership.getSelf().id
    this.owners.set(account, owner)
    return owner
  }

  /** The host that owned the account before `newOwner`, if it is still known. It may be leaving. */
  findFormerOwner (account: string, newOwner: string): HostRecord | undefined {
    const ids = this.membership.listHosts().map(host => host.id).filter(id => id !== newOwner)
    const former = chooseByRendezvous(formatKey(account), ids, 1)[0]
    return former === undefined ? undefined : this.membership.find(former)
  }

  /**
   * Time by which every host has learned that the account's owner died, and its leases have ended. Undefined when no
   * owner died or that time has passed.
   */
  findOwnerDeathSettledMs (account: string, nowMs: number): number | undefined {
    const self = this.membership.getSelf().id
    let settledMs: number | undefined
    for (const [hostId, diedAtMs] of this.deaths) {
      const endMs = diedAtMs + this.computeSettleMs()
      if (endMs <= nowMs) continue
      if (chooseByRendezvous(formatKey(account), [self, hostId], 1)[0] === hostId) settledMs = Math.max(settledMs ?? 0, endMs)
    }
    return settledMs
  }

  /** Duration of a lease plus the time that a death takes to become known to every host. */
  computeSettleMs (): number {
    return limitConstants.leaseMs + limitConstants.disseminationMsPerDoubling * Math.ceil(Math.log2(this.membership.listHosts().length + 1))
  }

  /** Whether the membership has been unchanged for so long that no former owner holds a budget. */
  isStable (nowMs: number): boolean {
    return nowMs - this.changedAtMs > limitConstants.stableMembershipMs
  }

  /**
   * Number of hosts that an owner grants for. It excludes a host that has just returned, because that host may still
   * use a lease of the owner on the other side of a partition.
   */
  countEligibleHosts (nowMs: number): number {
    const settleMs = this.computeSettleMs()
    for (const [hostId, atMs] of this.revivals) if (nowMs - atMs > settleMs) this.revivals.delete(hostId)
    return this.membership.listHosts().filter(host => !this.revivals.has(host.id)).length
  }

  /** Number of hosts that share each contract: the known hosts and the listed ones that have not announced their stop. */
  countSharingHosts (): number {
    const ids = new Set(this.membership.listHosts().map(host => host.id))
    for (const id of this.membership.listHostListIds()) if (!this.announcedStops.has(id)) ids.add(id)
    return ids.size
  }

  /** Whether the host is known and not dead. */
  isHostAlive (hostId: string): boolean {
    const state = this.membership.find(hostId)?.state
    return state !== undefined && state !== 'dead'
  }
}

function formatKey (account: string): string {
  return `limits/${account}`
}
