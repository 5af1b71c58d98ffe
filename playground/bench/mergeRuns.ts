import type { RunResult } from './runResult.js'

/** Pools the results of several seeds, so that quantiles come from all samples. */
export function mergeRuns (runs: readonly RunResult[]): RunResult {
  const merged: RunResult = { requests: [], stages: new Map(), spans: [], shortWaits: [] }
  for (const [seed, run] of runs.entries()) {
    for (const request of run.requests) merged.requests.push({ ...request, id: `${seed}/${request.id}` })
    for (const span of run.spans) merged.spans.push({ ...span, requestId: `${seed}/${span.requestId}` })
    for (const wait of run.shortWaits) merged.shortWaits.push(wait)
    for (const [key, cost] of run.stages) {
      const sum = merged.stages.get(key) ?? { done: 0, wasted: 0, repeated: 0 }
      merged.stages.set(key, { done: sum.done + cost.done, wasted: sum.wasted + cost.wasted, repeated: sum.repeated + cost.repeated })
    }
  }
  return merged
}
