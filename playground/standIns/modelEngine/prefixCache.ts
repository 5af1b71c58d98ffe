import { hashText } from '../../../src/shared/hashText.js'

const hashedPrefixChars = 256

/** Event of a prefix cache; `seq` increases by one with each event. */
interface CacheEvent {
  readonly seq: number
  readonly type: 'stored' | 'evicted'
  readonly prefixHash: string
  readonly atMs: number
}

/** Prompt prefixes in a cache of limited size with least-recently-used eviction. */
export class PrefixCache {
  private readonly prompts = new Map<string, string>()
  private events: CacheEvent[] = []
  private lastSeq = 0
  private storedChars = 0

  constructor (private readonly capacityChars: number) {}

  get usedChars (): number {
    return this.storedChars
  }

  hashPrefix (prompt: string): string {
    return hashText(prompt.slice(0, hashedPrefixChars)).toString(16).padStart(8, '0')
  }

  /** Number of leading characters of the prompt that are cached. */
  countCachedChars (prompt: string): number {
    const stored = this.prompts.get(this.hashPrefix(prompt))
    if (stored === undefined) return 0
    const limit = Math.min(stored.length, prompt.length)
    let count = 0
    while (count < limit && stored.charCodeAt(count) === prompt.charCodeAt(count)) count++
    return count
  }

  addPrompt (prompt: string, nowMs: number): void {
    const prefixHash = this.hashPrefix(prompt)
    const isNew = !this.prompts.has(prefixHash)
    this.removePrompt(prefixHash)
    if (prompt.length > this.capacityChars) return
    this.prompts.set(prefixHash, prompt)
    this.storedChars += prompt.length
    if (isNew) this.recordEvent('stored', prefixHash, nowMs)
    this.removeLeastRecentlyUsed(nowMs)
  }

  findPrompt (prefixHash: string): string | undefined {
    return this.prompts.get(prefixHash)
  }

  removeAll (nowMs: number): void {
    for (const prefixHash of [...this.prompts.keys()]) {
      this.removePrompt(prefixHash)
      this.recordEvent('evicted', prefixHash, nowMs)
    }
  }

  /** Events after `seq` that happened by `untilMs`. */
  listEvents (seq: number, untilMs: number): readonly CacheEvent[] {
    return this.events.filter(event => event.seq > seq && event.atMs <= untilMs)
  }

  private removeLeastRecentlyUsed (nowMs: number): void {
    for (const prefixHash of this.prompts.keys()) {
      if (this.storedChars <= this.capacityChars) return
      this.removePrompt(prefixHash)
      this.recordEvent('evicted', prefixHash, nowMs)
    }
  }

  private removePrompt (prefixHash: string): void {
    this.storedChars -= this.prompts.get(prefixHash)?.length ?? 0
    this.prompts.delete(prefixHash)
  }

  private recordEvent (type: 'stored' | 'evicted', prefixHash: string, nowMs: number): void {
    this.events.push({ seq: ++this.lastSeq, type, prefixHash, atMs: nowMs })
    if (this.events.length > 20_000) this.events = this.events.slice(-10_000)
  }
}
