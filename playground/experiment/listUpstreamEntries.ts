import type { UpstreamEntry } from '../../src/node/gateway/model/upstreamEntry.js'

/** Lists the entries of a service's upstreams, alternating between the failure domains. */
export function listUpstreamEntries (service: string, counts: Readonly<Record<string, number>>): readonly UpstreamEntry[] {
  const maxCount = Math.max(...Object.values(counts))
  const entries: UpstreamEntry[] = []
  for (let number = 0; number < maxCount; number++) {
    for (const [failureDomain, count] of Object.entries(counts)) {
      if (number >= count) continue
      entries.push({ id: `${service}-${entries.length}`, service, address: '', failureDomain, slots: 1, isDraining: false, version: 'v1', startedAtMs: 0 })
    }
  }
  return entries
}
