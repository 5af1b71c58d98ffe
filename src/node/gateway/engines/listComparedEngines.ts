import { engineConstants } from './constants.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/**
 * Lists the engines that are compared for a request: all of them up to `maxComparedEngines`, otherwise the preferred
 * ones, which have a part of its prompt in their cache, and others spread evenly over the service. `offset` differs from
 * request to request, so that all engines are compared in turn. Comparing 2,800 engines takes longer than all else that
 * a request needs.
 */
export function listComparedEngines (
  engines: readonly UpstreamState[],
  listPreferred: () => readonly UpstreamState[],
  offset: number
): readonly UpstreamState[] {
  const { maxComparedEngines } = engineConstants
  if (engines.length <= maxComparedEngines) return engines
  const compared = [...listPreferred()]
  const step = engines.length / maxComparedEngines
  for (let i = 0; i < maxComparedEngines; i++) compared.push(engines[Math.floor(offset + i * step) % engines.length]!)
  return compared
}
