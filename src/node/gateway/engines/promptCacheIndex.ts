import { engineConstants } from './constants.js'
import type { PromptPart } from '../model/promptPart.js'

/** Which prompt parts each engine has read lately, from this host's own requests. */
export class PromptCacheIndex {
  private readonly partsByEngine = new Map<string, Map<string, number>>()

  /** An engine has read the prompt. */
  recordPrompt (engineId: string, parts: readonly PromptPart[], nowMs: number): void {
    const known = this.partsByEngine.get(engineId) ?? new Map<string, number>()
    this.partsByEngine.set(engineId, known)
    for (const { id } of parts) {
      // Insertion order is the order of last use.
      known.delete(id)
      known.set(id, nowMs)
    }
    for (const id of known.keys()) {
      if (known.size <= engineConstants.maxPartsPerEngine) break
      known.delete(id)
    }
  }

  /** Tokens at the start of the prompt that the engine holds: a part counts only when all before it do. */
  countCachedTokens (engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    const known = this.partsByEngine.get(engineId)
    if (known === undefined) return 0
    let tokens = 0
    for (const part of parts) {
      const usedAtMs = known.get(part.id)
      if (usedAtMs === undefined || usedAtMs < nowMs - engineConstants.cacheLifetimeMs) break
      tokens += part.tokens
    }
    return tokens
  }

  removeEngine (engineId: string): void {
    this.partsByEngine.delete(engineId)
  }
}
