import type { Random } from '../../../types/random.js'
import type { UpstreamState } from './upstreamState.js'

/** Lower bound of the expected duration, which also applies to an upstream that has not responded yet, so that it soon gets requests. */
const minDurationMs = 10

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
export function chooseUpstream ({ candidates, failureDomain, random, nowMs }: UpstreamOptions): UpstreamState | undefined {
  let best: UpstreamState | undefined
  let bestCost = Infinity
  for (const candidate of candidates) {
    if (!candidate.pool.hasFreeConnection()) continue
    const duration = Math.max(candidate.computeDurationMs(nowMs), minDurationMs)
    // Equal upstreams share the load at random, with a slight preference for this host's failure domain.
    const domainFactor = candidate.entry.failureDomain === failureDomain ? 0.9 : 1
    const cost = duration * (candidate.inFlight + 1) * domainFactor * (0.9 + 0.2 * random())
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}
