import type { Random } from '../../src/types/random.js'
import type { WorkloadEntry } from '../examples/workloadEntry.js'

/** Workload entries for `count` requests: each entry once, as far as `count` allows, the rest by weight; in random order. */
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
  let passed = 0
  return workload.find(entry => (passed += entry.weight) > position) ?? workload[0] as WorkloadEntry
}
