import { routingConstants } from './constants.js'

/**
 * Records which upstreams of a pool have cached which prompt prefixes. The sources are this host's own attempts and
 * cache events, which may be late or incomplete.
 */
export class PrefixIndex {
  private readonly upstreamsByPrefix = new Map<string, string[]>()

  list (prefixHash: string): readonly string[] {
    return this.upstreamsByPrefix.get(prefixHash) ?? []
  }

  has (prefixHash: string, upstreamId: string): boolean {
    return this.upstreamsByPrefix.get(prefixHash)?.includes(upstreamId) ?? false
  }

  /** Records that the upstream has cached the prefix. The least recently added prefix is evicted when the index is full. */
  add (prefixHash: string, upstreamId: string): void {
    const others = (this.upstreamsByPrefix.get(prefixHash) ?? []).filter(id => id !== upstreamId)
    this.upstreamsByPrefix.delete(prefixHash)
    this.upstreamsByPrefix.set(prefixHash, [upstreamId, ...others].slice(0, routingConstants.maxUpstreamsPerPrefix))
    if (this.upstreamsByPrefix.size <= routingConstants.maxPrefixesPerPool) return
    const oldest = this.upstreamsByPrefix.keys().next()
    if (!oldest.done) this.upstreamsByPrefix.delete(oldest.value)
  }

  remove (prefixHash: string, upstreamId: string): void {
    const remaining = this.list(prefixHash).filter(id => id !== upstreamId)
    if (remaining.length > 0) this.upstreamsByPrefix.set(prefixHash, remaining)
    else this.upstreamsByPrefix.delete(prefixHash)
  }

  /** Removes an upstream from all prefixes, because it is gone or because some of its cache events were missed. */
  removeUpstream (upstreamId: string): void {
    for (const [prefixHash, ids] of this.upstreamsByPrefix) {
      if (ids.includes(upstreamId)) this.remove(prefixHash, upstreamId)
    }
  }
}
