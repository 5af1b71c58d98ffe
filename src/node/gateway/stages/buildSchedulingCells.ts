import { stageConstants } from './constants.js'
import type { SchedulingCell } from './schedulingCell.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

/**
 * Divides the failure domains of stage services and engines into cells whose stage work is scheduled separately, so that the work of one scheduling host
 * does not grow with the fleet and results stay in their domain. Every cell has enough upstreams of each stage service to
 * fill calls and to lose one; small deployments have one cell. All hosts that see the same upstreams build the same cells.
 */
export function buildSchedulingCells (
  upstreamsByService: ReadonlyMap<string, readonly UpstreamEntry[]>,
  stageServices: ReadonlySet<string>
): readonly SchedulingCell[] {
  const stageUpstreams = [...upstreamsByService]
    .filter(([service, entries]) => stageServices.has(service) && entries.length > 0)
    .map(([, entries]) => entries)
  const domains = [...new Set(stageUpstreams.flat().map(entry => entry.failureDomain))].sort()
  const fewest = Math.min(...stageUpstreams.map(entries => entries.length))
  const mostCells = Math.max(Math.min(domains.length, Math.floor(fewest / stageConstants.minUpstreamsPerCell)), 1)
  // Cells of equal size: with a cell of one domain beside one of two, the smaller one could not fill its calls.
  const cellCount = Math.floor(domains.length / Math.ceil(domains.length / mostCells))
  const findFirst = (cell: number): number => Math.floor(cell * domains.length / cellCount)
  return Array.from({ length: cellCount }, (_, i) => buildCell(domains.slice(findFirst(i), findFirst(i + 1)), upstreamsByService))
}

function buildCell (domains: readonly string[], upstreamsByService: ReadonlyMap<string, readonly UpstreamEntry[]>): SchedulingCell {
  const shares = new Map<string, number>()
  for (const [service, entries] of upstreamsByService) {
    if (entries.length > 0) shares.set(service, entries.filter(entry => domains.includes(entry.failureDomain)).length / entries.length)
  }
  return { domains, shares }
}
