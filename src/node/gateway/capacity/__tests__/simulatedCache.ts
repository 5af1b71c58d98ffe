/** Prompt parts that one simulated engine holds, up to a number of tokens; the least recently used ones are evicted. */
export class SimulatedCache {
  /** Tokens by part, in the order of last use. */
  private readonly parts = new Map<string, number>()
  private tokens = 0

  constructor (private readonly maxTokens: number) {}

  /** Reads a part and keeps it; returns the tokens that had to be read. */
  readPart (id: string, tokens: number): number {
    const isCached = this.parts.delete(id)
    this.parts.set(id, tokens)
    if (isCached) return 0
    this.tokens += tokens
    for (const [oldestId, oldestTokens] of this.parts) {
      if (this.tokens <= this.maxTokens) break
      this.parts.delete(oldestId)
      this.tokens -= oldestTokens
    }
    return tokens
  }
}
