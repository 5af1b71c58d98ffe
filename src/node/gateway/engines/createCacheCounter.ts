import type { PromptCacheIndex } from './promptCacheIndex.js'
import type { PromptPart } from '../model/promptPart.js'

/**
 * Creates the count of the tokens of a prompt that are expected in an engine's cache: those that this host's requests
 * have left there, and at the home engine the parts that other requests share, because the requests of other hosts are
 * sent there.
 */
export function createCacheCounter (
  cache: PromptCacheIndex,
  homeId: string | undefined,
  parts: readonly PromptPart[],
  nowMs: number
): (engineId: string) => number {
  const countTokens = cache.createCounter(parts, nowMs)
  const sharedTokens = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
  return engineId => engineId === homeId ? Math.max(countTokens(engineId), sharedTokens) : countTokens(engineId)
}
