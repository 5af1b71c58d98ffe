import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import { limitConstants } from './constants.js'

interface ListedMembershipView extends MembershipView {
  /** Ids of the live hosts in the platform's host list. */
  listListedHosts (): readonly string[]
}

/**
 * Who owns an account's limit and how many hosts share it, by membership and the host list. Pure but for its
 * view of the membership; times are local and monotonic.
 */
export class LimitMembership {
  private owners = new Map<string, string>()
  /** Hosts that died without leaving, with the time at which this was learnt. */
  private readonly deaths = new Map<string, number>()
  /** Hosts that came back, with the time of it. */
  private readonly revivals = new Map<string, number>()
  /** Hosts that announced their stop; the lagging list may still name them. */
  private readonly announcedStops = new Set<string>()
  private changedAtMs: number

  constructor (private readonly membership: ListedMembershipView, startMs: number) {
    this.changedAtMs = startMs
  }

  /** Takes note of a change of the membership. */
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

  findOwner (account: string): string {
    const known = this.owners.get(account)
    if (known !== undefined) return known
    const hosts = this.membership.listHosts().filter(host => host.state !== 'leaving').map(host => host.id)
    const owner = chooseByRendezvous(formatKey(account), hosts, 1)[0] ?? this.membership.getSelf().id
    this.owners.set(account, owner)
    return owner
  }

  /** The host that owned the account before `newOwner`, if it is still there; a leaving host may be it. */
  findFormerOwner (account: string, newOwner: string): HostRecord | undefined {
    const ids = this.membership.listHosts().map(host => host.id).filter(id => id !== newOwner)
    const former = chooseByRendezvous(formatKey(account), ids, 1)[0]
    return former === undefined ? undefined : this.membership.find(former)
  }

  /** When everybody knows of the death of the account's owner and its leases have ended; undefined when no owner died. */
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

  /** Lease time and the time that news of a death takes to reach every host. */
  computeSettleMs (): number {
    return limitConstants.leaseMs + limitConstants.disseminationMsPerDoubling * Math.ceil(Math.log2(this.membership.listHosts().length + 1))
  }

  /** Whether nothing has changed for so long that no former owner holds a budget. */
  isStable (nowMs: number): boolean {
    return nowMs - this.changedAtMs > limitConstants.stableMembershipMs
  }

  /**
   * Hosts that an owner of this side grants for. One that came back a moment ago may still use what the owner
   * of the other side of a partition has leased.
   */
  countEligibleHosts (nowMs: number): number {
    const settleMs = this.computeSettleMs()
    for (const [hostId, atMs] of this.revivals) if (nowMs - atMs > settleMs) this.revivals.delete(hostId)
    return this.membership.listHosts().filter(host => !this.revivals.has(host.id)).length
  }

  /** Hosts that share each contract: those seen and those listed that have not announced their stop. */
  countSharingHosts (): number {
    const ids = new Set(this.membership.listHosts().map(host => host.id))
    for (const id of this.membership.listListedHosts()) if (!this.announcedStops.has(id)) ids.add(id)
    return ids.size
  }

  isHostAlive (hostId: string): boolean {
    const state = this.membership.find(hostId)?.state
    return state !== undefined && state !== 'dead'
  }
}

function formatKey (account: string): string {
  return `limits/${account}`
}
