import type { BurnCounts } from './burnCounts.js'

/** Sorts by missed requests, then by total requests, both in descending order. */
export function compareMissed (a: BurnCounts, b: BurnCounts): number {
  return b.missed - a.missed || b.total - a.total
}
