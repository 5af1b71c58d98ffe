import { engineConstants } from './constants.js'
import { hashText } from '../../../shared/hashText.js'
import type { PromptCacheIndex } from './promptCacheIndex.js'
import type { PromptPart } from '../model/promptPart.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface EngineOptions {
  readonly candidates: readonly UpstreamState[]
  readonly cache: PromptCacheIndex
  readonly promptParts: readonly PromptPart[]
  readonly promptTokens: number
  /** Failure domain that holds the results of the stages; empty when there are none. */
  readonly inputDomain: string
  readonly nowMs: number
}

/** Spread of the hash preference in milliseconds: less than the time to read a usual prompt, more than noise. */
const preferenceMs = 15

/**
 * The engine with the lowest expected time to the first event. Among equal ones, a hash of the shared part of the
 * prompt decides, so that all hosts send requests with that part to the same engine without talking to each other.
 * The load it answers: many engines below their capacity, where reading long prompts again is the main cost.
 */
export function chooseEngine (options: EngineOptions): UpstreamState | undefined {
  let best: UpstreamState | undefined
  let bestMs = Infinity
  for (const candidate of options.candidates) {
    const costMs = computeCostMs(candidate, options)
    if (costMs >= bestMs || !candidate.pool.hasRoom()) continue
    best = candidate
    bestMs = costMs
  }
  return best
}

function computeCostMs (engine: UpstreamState, { cache, promptParts, promptTokens, inputDomain, nowMs }: EngineOptions): number {
  const { entry } = engine
  const cached = cache.countCachedTokens(entry.id, promptParts, nowMs)
  const prefillMs = Math.max(promptTokens - cached, 0) / engineConstants.prefillTokensPerMs
  const moveMs = inputDomain !== '' && entry.failureDomain !== inputDomain ? engineConstants.crossDomainMs : 0
  // The last part belongs to the request alone; the one before it is the longest that others share.
  const shared = promptParts.at(-2)?.id ?? promptParts.at(-1)?.id ?? ''
  const preference = hashText(`${shared}\n${entry.id}`) / 0xffffffff * preferenceMs
  return prefillMs + moveMs + preference + engine.inFlight * engineConstants.shareMs + engine.durationMs * 0.1
}
