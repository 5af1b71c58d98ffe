import { computeUpstreamCost } from './computeUpstreamCost.js'
import type { Random } from '../../../types/random.js'
import type { UpstreamState } from './upstreamState.js'

interface UpstreamOptions {
  readonly candidates: readonly UpstreamState[]
  readonly failureDomain: string
  readonly random: Random
  readonly nowMs: number
}

/**
 * Chooses the upstream of a plain service with the lowest expected duration: the measured duration multiplied by the
 * number of requests that this host has in progress there, the new one included. Meant for short calls far below the
 * capacity, while single upstreams become slow or fail.
 */
export function chooseUpstream (
  { candidates, failureDomain, random, nowMs }: UpstreamOptions
): UpstreamState | undefined {
  let best: UpstreamState | undefined
  let bestCost = Infinity
  for (const candidate of candidates) {
    if (!candidate.pool.hasFreeConnection()) continue
    const { durationMs, requestFactor, domainFactor } = computeUpstreamCost(candidate, failureDomain, nowMs)
    // Equal upstreams share the load at random, with a slight preference for this host's failure domain.
    const cost = durationMs * requestFactor * domainFactor * (0.9 + 0.2 * random())
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}
