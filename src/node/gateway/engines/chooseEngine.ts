import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
import { computePrefillMs } from './computePrefillMs.js'
import { findSharedPartId } from './findSharedPartId.js'
import { engineConstants } from './constants.js'
import type { EngineLoads } from './engineLoads.js'
import type { EnginePrompt } from './enginePrompt.js'
import type { PromptCacheIndex } from './promptCacheIndex.js'
import type { PromptPart } from '../model/promptPart.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface EngineOptions {
  readonly candidates: readonly UpstreamState[]
  readonly cache: PromptCacheIndex
  readonly loads: EngineLoads
  readonly prompt: EnginePrompt
  /** Failure domain that holds the stage results; empty when there are none. */
  readonly inputDomain: string
  /** Size of the stage results. */
  readonly inputBytes: number
  readonly nowMs: number
}

/**
 * Chooses the engine with the lowest expected cost of a request, in milliseconds: prefill of the prompt tokens that are
 * not in its cache, its prefill backlog, and the transfer of stage results. While an engine reads a long prompt, its
 * streams pause; two long prompts at the same time make the streams late. The longest part of the prompt that other
 * requests share has a home engine by rendezvous hashing, so that hosts choose the same engine without communicating.
 * Intended for many engines below their capacity, where the prefill of long prompts is the main cost.
 */
export function chooseEngine (options: EngineOptions): UpstreamState | undefined {
  const homeId = findHomeEngineId(options.candidates, options.prompt.parts)
  let best: UpstreamState | undefined
  let bestMs = Infinity
  for (const candidate of options.candidates) {
    const costMs = computeCostMs(candidate, options, homeId)
    if (costMs >= bestMs || !candidate.pool.hasFreeConnection()) continue
    best = candidate
    bestMs = costMs
  }
  return best
}

function findHomeEngineId (candidates: readonly UpstreamState[], parts: readonly PromptPart[]): string | undefined {
  const key = findSharedPartId(parts)
  return key === undefined ? undefined : chooseByRendezvous(key, candidates.map(candidate => candidate.entry.id), 1)[0]
}

function computeCostMs (engine: UpstreamState, options: EngineOptions, homeId: string | undefined): number {
  const { cache, loads, prompt, inputDomain, inputBytes, nowMs } = options
  const { id, failureDomain } = engine.entry
  const cachedTokens = cache.countCachedTokens(id, prompt.parts, nowMs)
  const expectedCachedTokens = id === homeId ? Math.max(cachedTokens, countSharedTokens(prompt.parts)) : cachedTokens
  const isInOtherDomain = inputDomain !== '' && failureDomain !== inputDomain
  const transferMs = isInOtherDomain ? inputBytes * engineConstants.transferMsPerByte : 0
  return computePrefillMs(prompt.tokens - expectedCachedTokens) + loads.computePrefillBacklogMs(id, nowMs) * engineConstants.prefillBacklogWeight + transferMs +
    engine.inFlight * engineConstants.msPerRequestInFlight + engine.computeDurationMs(nowMs) * engineConstants.firstEventWeight
}

function countSharedTokens (parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
}
