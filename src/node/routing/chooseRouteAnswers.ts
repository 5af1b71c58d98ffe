import type { HostRecord } from '../../types/hostRecord.js'
import type { Random } from '../../types/random.js'

/** Weight of a host that reports full load; it is not left out, because loads are seconds old. */
const leastWeight = 0.02

/**
 * The entry hosts that a caller is told: `count` live hosts, drawn without repetition with a weight of
 * their spare capacity, from at least two failure domains where live hosts are in two. Hosts without
 * an entry in `loads` (share of capacity in use, 0 to 1) count as idle. Suspect hosts are told only
 * when no host is live, leaving and dead ones never.
 */
export function chooseRouteAnswers (hosts: readonly HostRecord[], loads: ReadonlyMap<string, number>, count: number, random: Random): readonly HostRecord[] {
  const live = hosts.filter(host => host.state === 'live')
  const candidates = live.length > 0 ? live : hosts.filter(host => host.state === 'suspect')
  // The key random ** (1 / weight) draws by weight without repetition (Efraimidis and Spirakis, 2006).
  const drawn = candidates
    .map(host => ({ host, key: random() ** (1 / Math.max(leastWeight, 1 - (loads.get(host.id) ?? 0))) }))
    .sort((a, b) => b.key - a.key)
    .map(entry => entry.host)
  const chosen = drawn.slice(0, count)
  const first = chosen[0]
  if (first === undefined || count < 2 || chosen.some(host => host.failureDomain !== first.failureDomain)) return chosen
  const other = drawn.find(host => host.failureDomain !== first.failureDomain)
  return other === undefined ? chosen : [...chosen.slice(0, count - 1), other]
}
