import { hashText } from '../../../shared/hashText.js'
import type { SchedulingCell } from './schedulingCell.js'

const hashRange = 0x100000000

/**
 * Ranks the cells for a job by rendezvous hashing of its key, in proportion to their share of the upstreams that the job
 * needs: jobs whose prompts share a part go to the same cell, which has the engine that has read it. Cells without an
 * upstream of one of the services are left out; when that leaves none, all cells are ranked.
 */
export function listRankedCells (cells: readonly SchedulingCell[], key: string, services: readonly string[]): readonly SchedulingCell[] {
  const ranked = cells
    .map(cell => ({ cell, weight: Math.min(...services.map(service => cell.shares.get(service) ?? 0)) }))
    .filter(({ weight }) => weight > 0)
    // Weighted rendezvous hashing: the cell with the smallest exponentially distributed value of rate `weight` is first.
    .map(({ cell, weight }) => ({ cell, value: -Math.log((hashText(`${key}\n${cell.domains.join()}`) + 0.5) / hashRange) / weight }))
    .sort((a, b) => a.value - b.value)
    .map(({ cell }) => cell)
  return ranked.length > 0 ? ranked : cells
}
