import { engineConstants } from './constants.js'
import type { PromptPart } from '../model/promptPart.js'

/** Tracks which prompt parts each engine has recently read, from the requests that this host has placed. */
export class PromptCacheIndex {
  /** Time of last use of each prompt part, by engine and part. */
  private readonly partsByEngine = new Map<string, Map<string, number>>()

  /** Records that an engine reads a prompt. */
  recordPrompt (engineId: string, parts: readonly PromptPart[], nowMs: number): void {
    const lastUseByPart = this.partsByEngine.get(engineId) ?? new Map<string, number>()
    this.partsByEngine.set(engineId, lastUseByPart)
    for (const { id } of parts) {
      // Deleting first keeps the map in the order of last use.
      lastUseByPart.delete(id)
      lastUseByPart.set(id, nowMs)
    }
    for (const id of lastUseByPart.keys()) {
      if (lastUseByPart.size <= engineConstants.maxPartsPerEngine) break
      lastUseByPart.delete(id)
    }
  }

  /** Counts the tokens at the start of the prompt that are in the engine's cache: a part counts only when all parts before it do. */
  countCachedTokens (engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    const lastUseByPart = this.partsByEngine.get(engineId)
    if (lastUseByPart === undefined) return 0
    let tokens = 0
    for (const part of parts) {
      const usedAtMs = lastUseByPart.get(part.id)
      if (usedAtMs === undefined || usedAtMs < nowMs - engineConstants.cacheLifetimeMs) break
      tokens += part.tokens
    }
    return tokens
  }

  removeEngine (engineId: string): void {
    this.partsByEngine.delete(engineId)
  }
}
