import { hashText } from '../../../shared/hashText.js'
import type { SchedulingCell } from './schedulingCell.js'

const hashRange = 0x100000000
/** Weight of a cell without an upstream of some service. */
const minWeight = 0.01

/**
 * Ranks the cells for a request by rendezvous hashing of its key, in proportion to their share of the scarcest upstreams:
 * requests whose prompts share a part go to the same cell, which has the engine that has read it. The weights do not depend
 * on the services that the request needs, because requests of one session need different ones. Cells without an upstream
 * of a needed service are left out; when that leaves none, all cells are ranked.
 */
export function listRankedCells (cells: readonly SchedulingCell[], key: string, neededServices: readonly string[]): readonly SchedulingCell[] {
  const usable = cells.filter(cell => neededServices.every(service => cell.shares.get(service) !== 0))
  return (usable.length > 0 ? usable : cells)
    // Weighted rendezvous hashing: the cell with the smallest exponentially distributed value of rate `weight` is first.
    .map(cell => ({ cell, value: -Math.log((hashText(`${key}\n${cell.domains.join()}`) + 0.5) / hashRange) / Math.max(Math.min(...cell.shares.values()), minWeight) }))
    .sort((a, b) => a.value - b.value)
    .map(({ cell }) => cell)
}
