import type { Random } from '../../../types/random.js'
import type { UpstreamState } from './upstreamState.js'

/** Least duration, assumed also for an upstream that has not answered yet, so that it gets requests soon. */
const shortestDurationMs = 10

interface UpstreamOptions {
  readonly candidates: readonly UpstreamState[]
  readonly failureDomain: string
  readonly random: Random
  readonly nowMs: number
}

/**
 * The upstream of a plain service with the lowest expected duration: measured time, times the requests of this host
 * in progress. The load it answers: short calls far below the capacity, while single upstreams turn slow or fail.
 */
export function chooseUpstream ({ candidates, failureDomain, random, nowMs }: UpstreamOptions): UpstreamState | undefined {
  let best: UpstreamState | undefined
  let bestCost = Infinity
  for (const candidate of candidates) {
    if (!candidate.pool.hasRoom()) continue
    const duration = Math.max(candidate.computeDurationMs(nowMs), shortestDurationMs)
    // Equal upstreams share the load at random, with a slight preference for the own domain.
    const nearness = candidate.entry.failureDomain === failureDomain ? 0.9 : 1
    const cost = duration * (candidate.inFlight + 1) * nearness * (0.9 + 0.2 * random())
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}
