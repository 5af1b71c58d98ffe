import type { BurnCounts } from './burnCounts.js'

/** Orders by missed requests, then by requests, largest first. */
export function compareMissed (a: BurnCounts, b: BurnCounts): number {
  return b.missed - a.missed || b.total - a.total
}
