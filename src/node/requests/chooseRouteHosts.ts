import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { HostRecord } from '../../types/hostRecord.js'

/**
 * Up to `count` hosts for the callers of one account, one from each failure domain in turn. Live hosts stand in
 * the order of their rendezvous weight for the account, the owner of the account's limit first, so that the
 * requests of a small account meet at hosts that hold a share of its limit already. Suspect hosts are added
 * only when the live ones are in fewer than two failure domains.
 */
export function chooseRouteHosts (hosts: readonly HostRecord[], account: string, count: number): readonly HostRecord[] {
  const live = hosts.filter(host => host.state === 'live')
  const candidates = countDomains(live) < 2 ? hosts.filter(host => host.state === 'live' || host.state === 'suspect') : live
  const byId = new Map(candidates.map(host => [host.id, host]))
  const ordered = chooseByRendezvous(`limits/${account}`, [...byId.keys()], byId.size).map(id => byId.get(id)!)
  const turns = new Map<string, number>()
  return ordered
    .map(host => {
      const turn = turns.get(host.failureDomain) ?? 0
      turns.set(host.failureDomain, turn + 1)
      return { host, turn }
    })
    .sort((a, b) => a.turn - b.turn)
    .slice(0, count)
    .map(entry => entry.host)
}

function countDomains (hosts: readonly HostRecord[]): number {
  return new Set(hosts.map(host => host.failureDomain)).size
}
