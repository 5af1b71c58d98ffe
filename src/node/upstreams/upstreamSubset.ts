import type { Upstream } from '../../types/upstream.js'
import { chooseConnectionSubset } from '../routing/chooseConnectionSubset.js'

/** Chooses the upstreams that a host connects to: `size` members of each pool, or all members of smaller pools. */
export class UpstreamSubset {
  /**
   * Last choice by pool. Choosing takes 0.1 s with 340 hosts and 2,800 members, so it is repeated only when its input
   * changes.
   */
  private readonly cachedChoices = new Map<string, { readonly input: string, readonly chosen: ReadonlySet<string> }>()

  constructor (private readonly hostId: string, private readonly size: number) {}

  choose (upstreams: readonly Upstream[], hostIds: readonly string[]): readonly Upstream[] {
    const pools = new Map<string, Upstream[]>()
    for (const upstream of upstreams) {
      const members = pools.get(upstream.pool) ?? []
      members.push(upstream)
      pools.set(upstream.pool, members)
    }
    return [...pools].flatMap(([pool, members]) => members.length <= this.size ? members : this.chooseMembers(pool, members, hostIds))
  }

  private chooseMembers (pool: string, members: readonly Upstream[], hostIds: readonly string[]): readonly Upstream[] {
    const ids = members.map(member => member.id)
    const input = JSON.stringify([[...ids].sort(), [...hostIds].sort()])
    let choice = this.cachedChoices.get(pool)
    if (choice?.input !== input) {
      choice = { input, chosen: new Set(chooseConnectionSubset(this.hostId, hostIds, ids, this.size)) }
      this.cachedChoices.set(pool, choice)
    }
    const { chosen } = choice
    return members.filter(member => chosen.has(member.id))
  }
}
