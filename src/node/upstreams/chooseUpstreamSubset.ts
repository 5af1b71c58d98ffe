import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { Upstream } from '../../types/upstream.js'

/**
 * The members of each pool that a host connects to: the whole pool up to `size` members, otherwise the
 * `size` members with the highest rendezvous weight for the host.
 */
export function chooseUpstreamSubset (upstreams: readonly Upstream[], hostId: string, size: number): readonly Upstream[] {
  const pools = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const members = pools.get(upstream.pool) ?? []
    members.push(upstream)
    pools.set(upstream.pool, members)
  }
  return [...pools.values()].flatMap(members => {
    if (members.length <= size) return members
    const chosen = new Set(chooseByRendezvous(hostId, members.map(member => member.id), size))
    return members.filter(member => chosen.has(member.id))
  })
}
