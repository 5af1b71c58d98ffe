import { routingConstants } from './constants.js'

/** Which upstreams of a pool hold which prompt prefixes, from own attempts and from late and gappy cache events. */
export class PrefixIndex {
  private readonly holders = new Map<string, string[]>()

  list (prefixHash: string): readonly string[] {
    return this.holders.get(prefixHash) ?? []
  }

  has (prefixHash: string, upstreamId: string): boolean {
    return this.holders.get(prefixHash)?.includes(upstreamId) ?? false
  }

  /** Records that the upstream holds the prefix; the least recently used prefix makes room. */
  add (prefixHash: string, upstreamId: string): void {
    const others = (this.holders.get(prefixHash) ?? []).filter(id => id !== upstreamId)
    this.holders.delete(prefixHash)
    this.holders.set(prefixHash, [upstreamId, ...others].slice(0, routingConstants.prefixHolders))
    if (this.holders.size <= routingConstants.prefixesPerPool) return
    const oldest = this.holders.keys().next()
    if (!oldest.done) this.holders.delete(oldest.value)
  }

  remove (prefixHash: string, upstreamId: string): void {
    const left = this.list(prefixHash).filter(id => id !== upstreamId)
    if (left.length > 0) this.holders.set(prefixHash, left)
    else this.holders.delete(prefixHash)
  }

  /** Forgets everything about an upstream whose events have a gap or that is gone. */
  removeUpstream (upstreamId: string): void {
    for (const [prefixHash, ids] of this.holders) {
      if (ids.includes(upstreamId)) this.remove(prefixHash, upstreamId)
    }
  }
}
