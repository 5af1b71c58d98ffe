import { engineConstants } from './constants.js'
import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
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
  /** Size of these results. */
  readonly inputBytes: number
  readonly nowMs: number
}

/**
 * The engine with the lowest expected cost of a request, in milliseconds of reading. The longest part of the prompt
 * that other requests share has a home engine by rendezvous hashing, so that all hosts send requests with that part
 * to the same engine without talking to each other.
 * The load it answers: many engines below their capacity, where reading long prompts again is the main cost.
 */
export function chooseEngine (options: EngineOptions): UpstreamState | undefined {
  const home = findHomeId(options.candidates, options.promptParts)
  let best: UpstreamState | undefined
  let bestMs = Infinity
  for (const candidate of options.candidates) {
    const costMs = computeCostMs(candidate, options, home)
    if (costMs >= bestMs || !candidate.pool.hasRoom()) continue
    best = candidate
    bestMs = costMs
  }
  return best
}

/** The last part belongs to the request or its session; the one before it is the longest that others share. */
function findHomeId (candidates: readonly UpstreamState[], parts: readonly PromptPart[]): string | undefined {
  const key = (parts.at(-2) ?? parts.at(-1))?.id
  return key === undefined ? undefined : chooseByRendezvous(key, candidates.map(candidate => candidate.entry.id), 1)[0]
}

function computeCostMs (engine: UpstreamState, options: EngineOptions, homeId: string | undefined): number {
  const { cache, promptParts, promptTokens, inputDomain, inputBytes, nowMs } = options
  const { entry } = engine
  const known = cache.countCachedTokens(entry.id, promptParts, nowMs)
  const cached = entry.id === homeId ? Math.max(known, countSharedTokens(promptParts)) : known
  const prefillMs = Math.max(promptTokens - cached, 0) / engineConstants.prefillTokensPerMs
  const isElsewhere = inputDomain !== '' && entry.failureDomain !== inputDomain
  const moveMs = isElsewhere ? inputBytes * engineConstants.moveMsPerByte : 0
  return prefillMs + moveMs + engine.inFlight * engineConstants.shareMs + engine.computeDurationMs(nowMs) * engineConstants.durationShare
}

function countSharedTokens (parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
}
