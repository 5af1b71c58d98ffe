import { routingConstants } from './constants.js'

/** Which upstreams of a pool hold which prompt prefixes, from own attempts and from late and gappy cache events. */
export class PrefixIndex {
  private readonly upstreamsByPrefix = new Map<string, string[]>()

  list (prefixHash: string): readonly string[] {
    return this.upstreamsByPrefix.get(prefixHash) ?? []
  }

  has (prefixHash: string, upstreamId: string): boolean {
    return this.upstreamsByPrefix.get(prefixHash)?.includes(upstreamId) ?? false
  }

  /** Records that the upstream holds the prefix; the least recently used prefix makes room. */
  add (prefixHash: string, upstreamId: string): void {
    const others = (this.upstreamsByPrefix.get(prefixHash) ?? []).filter(id => id !== upstreamId)
    this.upstreamsByPrefix.delete(prefixHash)
    this.upstreamsByPrefix.set(prefixHash, [upstreamId, ...others].slice(0, routingConstants.maxUpstreamsPerPrefix))
    if (this.upstreamsByPrefix.size <= routingConstants.maxPrefixesPerPool) return
    const oldest = this.upstreamsByPrefix.keys().next()
    if (!oldest.done) this.upstreamsByPrefix.delete(oldest.value)
  }

  remove (prefixHash: string, upstreamId: string): void {
    const left = this.list(prefixHash).filter(id => id !== upstreamId)
    if (left.length > 0) this.upstreamsByPrefix.set(prefixHash, left)
    else this.upstreamsByPrefix.delete(prefixHash)
  }

  /** Forgets everything about an upstream whose events have a gap or that is gone. */
  removeUpstream (upstreamId: string): void {
    for (const [prefixHash, ids] of this.upstreamsByPrefix) {
      if (ids.includes(upstreamId)) this.remove(prefixHash, upstreamId)
    }
  }
}
