import { StageUpstream } from './stageUpstream.js'
import type { StageService } from './stageService.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

/** Brings the upstreams of a service up to date with their entries. Returns whether upstreams were lost. */
export function updateStageUpstreams (service: StageService, entries: readonly UpstreamEntry[]): boolean {
  const ids = new Set(entries.map(entry => entry.id))
  const lostIds = [...service.upstreams.keys()].filter(id => !ids.has(id))
  for (const id of lostIds) service.upstreams.delete(id)
  for (const entry of entries) {
    const upstream = service.upstreams.get(entry.id) ?? new StageUpstream(entry.id, entry.failureDomain)
    upstream.isDraining = entry.isDraining
    upstream.applyInstance(entry.startedAtMs)
    service.upstreams.set(entry.id, upstream)
  }
  return lostIds.length > 0
}
