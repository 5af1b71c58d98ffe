import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { HostRecord } from '../../types/hostRecord.js'

/**
 * Chooses up to `count` hosts for the callers of an account, alternating between failure domains. Hosts are ordered
 * by their rendezvous weight for the account, starting with the owner of the account's limit, so that the requests
 * of a small account go to hosts that already hold a share of its limit. Suspect hosts are included only when the
 * live hosts are in fewer than two failure domains.
 */
export function chooseRouteHosts (hosts: readonly HostRecord[], account: string, count: number): readonly HostRecord[] {
  const live = hosts.filter(host => host.state === 'live')
  const candidates = countDomains(live) < 2 ? hosts.filter(host => host.state === 'live' || host.state === 'suspect') : live
  const byId = new Map(candidates.map(host => [host.id, host]))
  const ordered = chooseByRendezvous(`limits/${account}`, [...byId.keys()], byId.size).map(id => byId.get(id)!)
  const nextRankByDomain = new Map<string, number>()
  return ordered
    .map(host => {
      const rankInDomain = nextRankByDomain.get(host.failureDomain) ?? 0
      nextRankByDomain.set(host.failureDomain, rankInDomain + 1)
      return { host, rankInDomain }
    })
    .sort((a, b) => a.rankInDomain - b.rankInDomain)
    .slice(0, count)
    .map(entry => entry.host)
}

function countDomains (hosts: readonly HostRecord[]): number {
  return new Set(hosts.map(host => host.failureDomain)).size
}
