import type { HostRecord } from '../../types/hostRecord.js'
import type { Random } from '../../types/random.js'

/**
 * Up to `count` hosts for a caller: live ones at random, one from each failure domain in turn. Suspect
 * hosts are added only when the live ones are in fewer than two failure domains.
 */
export function chooseRouteHosts (hosts: readonly HostRecord[], count: number, random: Random): readonly HostRecord[] {
  const countDomains = (list: readonly HostRecord[]): number => new Set(list.map(host => host.failureDomain)).size
  const live = hosts.filter(host => host.state === 'live')
  const candidates = countDomains(live) < 2 ? hosts.filter(host => host.state === 'live' || host.state === 'suspect') : live
  const shuffled = candidates
    .map(host => ({ host, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(entry => entry.host)
  const turns = new Map<string, number>()
  return shuffled
    .map(host => {
      const turn = turns.get(host.failureDomain) ?? 0
      turns.set(host.failureDomain, turn + 1)
      return { host, turn }
    })
    .sort((a, b) => a.turn - b.turn)
    .slice(0, count)
    .map(entry => entry.host)
}
