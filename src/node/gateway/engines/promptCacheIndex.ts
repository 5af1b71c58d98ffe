import { engineConstants } from './constants.js'
import type { PromptPart } from '../model/promptPart.js'

interface CachedPart {
  readonly id: string
  lastUseMs: number
  /** Time of last use at each engine, in the order of last use. */
  readonly lastUseByEngine: Map<string, number>
}

/**
 * Tracks which prompt parts each engine has recently read, from the requests that this host has placed. Parts are
 * forgotten after `cacheLifetimeMs`, and the least recently used ones beyond `maxCachedParts`.
 */
export class PromptCacheIndex {
  /** In the order of last use. */
  private readonly parts = new Map<string, CachedPart>()

  /** Number of parts that are held. */
  get partCount (): number {
    return this.parts.size
  }

  /** Records that an engine reads a prompt. Parts with ids beyond `maxPartIdLength` are not tracked. */
  recordPrompt (engineId: string, parts: readonly PromptPart[], nowMs: number): void {
    for (const { id } of parts) {
      if (id.length > engineConstants.maxPartIdLength) continue
      const part = this.parts.get(id) ?? { id, lastUseMs: nowMs, lastUseByEngine: new Map<string, number>() }
      part.lastUseMs = nowMs
      // Deleting first keeps both maps in the order of last use.
      this.parts.delete(id)
      this.parts.set(part.id, part)
      part.lastUseByEngine.delete(engineId)
      part.lastUseByEngine.set(engineId, nowMs)
      removeExpiredUses(part.lastUseByEngine, nowMs)
    }
    this.evictParts(nowMs)
  }

  /**
   * Counts the tokens at the start of the prompt that are in the engine's cache: a part counts only when all parts
   * before it do.
   */
  countCachedTokens (engineId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.createCounter(parts, nowMs)(engineId)
  }

  /** Creates the same count for one prompt at many engines: its parts are looked up once. */
  createCounter (parts: readonly PromptPart[], nowMs: number): (engineId: string) => number {
    const uses: Array<{ readonly tokens: number, readonly lastUseByEngine: ReadonlyMap<string, number> }> = []
    for (const { id, tokens } of parts) {
      const lastUseByEngine = this.parts.get(id)?.lastUseByEngine
      if (lastUseByEngine === undefined) break
      uses.push({ tokens, lastUseByEngine })
    }
    return engineId => {
      let sum = 0
      for (const { tokens, lastUseByEngine } of uses) {
        const usedAtMs = lastUseByEngine.get(engineId)
        if (usedAtMs === undefined || isExpired(usedAtMs, nowMs)) break
        sum += tokens
      }
      return sum
    }
  }

  /**
   * Lists engines that have recently read a part of the prompt, beginning with its last known part, until there are
   * `count` or a few more. Of a part that more engines have read, the ones that have read it last are listed.
   */
  listEngineIds (parts: readonly PromptPart[], count: number, nowMs: number): readonly string[] {
    const engineIds = new Set<string>()
    const known = parts.map(({ id }) => this.parts.get(id)?.lastUseByEngine)
    const firstUnknown = known.indexOf(undefined)
    const lastKnown = (firstUnknown < 0 ? known.length : firstUnknown) - 1
    for (let i = lastKnown; i >= 0 && engineIds.size < count; i--) {
      for (const [engineId, usedAtMs] of [...known[i]!].slice(-count)) {
        if (!isExpired(usedAtMs, nowMs)) engineIds.add(engineId)
      }
    }
    return [...engineIds]
  }

  removeEngine (engineId: string): void {
    for (const part of this.parts.values()) part.lastUseByEngine.delete(engineId)
  }

  private evictParts (nowMs: number): void {
    for (const { id, lastUseMs } of this.parts.values()) {
      if (!isExpired(lastUseMs, nowMs) && this.parts.size <= engineConstants.maxCachedParts) return
      this.parts.delete(id)
    }
  }
}

function isExpired (usedAtMs: number, nowMs: number): boolean {
  return usedAtMs < nowMs - engineConstants.cacheLifetimeMs
}

function removeExpiredUses (lastUseByEngine: Map<string, number>, nowMs: number): void {
  for (const [engineId, usedAtMs] of lastUseByEngine) {
    if (!isExpired(usedAtMs, nowMs)) return
    lastUseByEngine.delete(engineId)
  }
}
