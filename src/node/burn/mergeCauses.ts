import { burnConstants } from './constants.js'
import type { BurnCause } from './burnCause.js'

/** Sums the counts by label and returns the most frequent causes, in descending order. */
export function mergeCauses (lists: ReadonlyArray<readonly BurnCause[]>): readonly BurnCause[] {
  const counts = new Map<string, number>()
  for (const { label, count } of lists.flat()) counts.set(label, (counts.get(label) ?? 0) + count)
  return [...counts]
    .map(([label, count]) => ({ label, count }))
    .sort((a, b) => b.count - a.count || (a.label < b.label ? -1 : 1))
    .slice(0, burnConstants.maximumCauses)
}
