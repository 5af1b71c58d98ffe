import { computeEngineCost } from './computeEngineCost.js'
import type { CostOptions } from './costOptions.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface EngineOptions extends CostOptions {
  readonly candidates: readonly UpstreamState[]
}

/**
 * Chooses the engine with the lowest expected cost of a request, in milliseconds: prefill of the prompt tokens that are
 * not in its cache, its prefill backlog, and the transfer of stage results. While an engine reads a long prompt, its
 * streams pause; two long prompts at the same time make the streams late. The longest part of the prompt that other
 * requests share has a home engine by rendezvous hashing, so that hosts choose the same engine without communicating.
 * A home engine that is slow is passed over when another one reads the whole prompt sooner; one that is not has a margin,
 * because a part that moves is read again.
 * Intended for many engines below their capacity, where the prefill of long prompts is the main cost.
 */
export function chooseEngine (options: EngineOptions): UpstreamState | undefined {
  let best: UpstreamState | undefined
  let bestMs = Infinity
  for (const candidate of options.candidates) {
    const cost = computeEngineCost(candidate, options)
    const costMs = cost.prefillMs + cost.homeMarginMs + cost.backlogMs + cost.transferMs + cost.inFlightMs + cost.firstEventMs
    if (costMs >= bestMs || !candidate.pool.hasFreeConnection()) continue
    best = candidate
    bestMs = costMs
  }
  return best
}
