import { engineConstants } from './constants.js'
import type { CostOptions } from './costOptions.js'
import type { EngineCost } from './engineCost.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** Computes the expected cost of a request at an engine by part; its sum is what `chooseEngine` compares. */
export function computeEngineCost (engine: UpstreamState, options: CostOptions): EngineCost {
  const { countCachedTokens, homeMargin, loads, capacity, prompt, inputDomain, inputBytes, nowMs } = options
  const { id, failureDomain } = engine.entry
  const cachedTokens = countCachedTokens(id)
  const readTokens = prompt.tokens - cachedTokens
  const movedTokens = Math.max((homeMargin?.cachedTokens ?? 0) - cachedTokens, 0)
  const isInOtherDomain = inputDomain !== '' && failureDomain !== inputDomain
  return {
    prefillMs: capacity.computeReadMs(id, readTokens, engine.inFlight, nowMs),
    homeMarginMs: movedTokens * (homeMargin?.msPerToken ?? 0),
    // The measured wait contains the backlog of this host's requests and that of others.
    backlogMs: Math.max(loads.computePrefillBacklogMs(id, nowMs) * engineConstants.prefillBacklogWeight, capacity.computeWaitMs(id, nowMs)),
    transferMs: isInOtherDomain ? inputBytes * engineConstants.transferMsPerByte : 0,
    inFlightMs: engine.inFlight * engineConstants.msPerRequestInFlight * capacity.computePaceRatio(id, engine.inFlight, nowMs),
    firstEventMs: engine.computeDurationMs(nowMs) * engineConstants.firstEventWeight
  }
}
