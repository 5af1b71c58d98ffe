import type { ExampleDeployment } from '../examples/exampleDeployment.js'
import type { StandInPlacement } from './standInPlacement.js'

type Groups = ReadonlyMap<string, readonly StandInPlacement[]>

/**
 * Groups the stand-ins of an example by the process that runs them. `type`: one process for each type; `single`: one for
 * each stand-in, so that each can be killed or frozen on its own.
 */
export function buildStandInGroups (example: ExampleDeployment, grouping: 'type' | 'single'): Groups {
  const groups = new Map<string, StandInPlacement[]>()
  for (const placement of listPlacements(example)) {
    const group = grouping === 'type' ? placement.options.type : placement.options.id
    groups.set(group, [...groups.get(group) ?? [], placement])
  }
  return groups
}

function listPlacements (example: ExampleDeployment): readonly StandInPlacement[] {
  const { failureDomains, links } = example
  const linkDelayMs = 2 * links.betweenDomainsMs
  const platform = [
    { options: { type: 'key-value-service', id: 'key-value-service', linkDelayMs, ...example.keyValueService } },
    { options: { type: 'host-list', id: 'host-list', linkDelayMs, ...example.hostList } },
    { options: { type: 'weight-store', id: 'weight-store', linkDelayMs, ...example.weightStore } }
  ]
  const upstreams = example.upstreams.flatMap(({ pool, type, count, options }) => Array.from({ length: count }, (_, index) => ({
    pool,
    failureDomain: failureDomains[index % failureDomains.length],
    options: { type, id: `${pool}-${index + 1}`, pool, linkDelayMs, seed: index + 1, ...options }
  })))
  return [...platform, ...upstreams]
}
