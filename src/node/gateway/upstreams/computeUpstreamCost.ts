import type { UpstreamCost } from './upstreamCost.js'
import type { UpstreamState } from './upstreamState.js'

/**
 * Lower bound of the expected duration, which also applies to an upstream that has not responded yet, so that it soon
 * gets requests.
 */
const minDurationMs = 10

/** Computes the cost of a request at an upstream by part; its product is what `chooseUpstream` compares. */
export function computeUpstreamCost (upstream: UpstreamState, failureDomain: string, nowMs: number): UpstreamCost {
  return {
    durationMs: Math.max(upstream.computeDurationMs(nowMs), minDurationMs),
    requestFactor: upstream.inFlight + 1,
    domainFactor: upstream.entry.failureDomain === failureDomain ? 0.9 : 1
  }
}
