import type { Random } from '../../src/types/random.js'
import type { WorkloadEntry } from '../examples/workloadEntry.js'

/** Chooses workload entries for `count` requests in random order: each entry once, if `count` allows, and the rest at random by weight. */
export function chooseEntries (workload: readonly WorkloadEntry[], count: number, random: Random): readonly WorkloadEntry[] {
  const total = workload.reduce((sum, entry) => sum + entry.weight, 0)
  const rest = Array.from({ length: Math.max(0, count - workload.length) }, () => chooseByWeight(workload, random() * total))
  return [...workload, ...rest]
    .map(entry => ({ entry, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({ entry }) => entry)
}

function chooseByWeight (workload: readonly WorkloadEntry[], position: number): WorkloadEntry {
  let weightSum = 0
  return workload.find(entry => (weightSum += entry.weight) > position) ?? workload[0] as WorkloadEntry
}
