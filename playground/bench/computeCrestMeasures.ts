import { computeQuantile } from './computeQuantile.js'
import type { Deployment } from './deployment.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'

/** Length of the windows by which the recovery time is computed. */
const windowMs = 500
/** Time after the crest until latency must be back to usual. */
const recoveryMs = 2000
/** End of the measurement, as time after the crest. */
const afterMs = 7000

/**
 * Computes the measures of the crest, the load peak of a scenario: attainment and goodput of the runners relative to
 * capacity during the crest, latency and recovery time after it.
 */
export function computeCrestMeasures (deployment: Deployment, scenario: Scenario, result: RunResult, seeds: number): ReadonlyMap<string, number> {
  const measures = new Map<string, number>()
  const { crest } = scenario
  const runners = deployment.pools.find(pool => pool.name === 'runners')
  if (crest === undefined || runners === undefined) return measures
  for (const kind of deployment.kinds) {
    const own = result.requests.filter(request => request.kind === kind.name)
    const inside = own.filter(request => request.atMs >= crest.startMs && request.atMs < crest.endMs)
    measures.set(`crest ${kind.name} attainment`, inside.filter(request => request.outcome === 'attained').length / Math.max(1, inside.length))
    const times = own.filter(request => request.atMs >= crest.endMs && (request.outcome === 'attained' || request.outcome === 'late'))
    const after = times.filter(request => request.atMs >= crest.endMs + recoveryMs && request.atMs < crest.endMs + afterMs)
    measures.set(`after crest ${kind.name} p99 ms`, computeQuantile(after.map(request => request.elapsedMs), 0.99))
    const before = own.filter(request => request.atMs >= 4000 && request.atMs < crest.startMs && request.outcome !== 'refused')
    measures.set(`recovery ${kind.name} ms`, computeRecoveryMs(times.map(request => [request.atMs - crest.endMs, request.elapsedMs]), computeQuantile(before.map(request => request.elapsedMs), 0.99)))
  }
  measures.set('crest goodput', computeGoodput(result, crest, runners.count * runners.slots / (1 + runners.batchSlope), seeds))
  return measures
}

/** Computes the end of the last window after the crest whose p99 is more than 20% above the usual p99. */
function computeRecoveryMs (times: readonly (readonly [number, number])[], usualMs: number): number {
  let lastMs = 0
  for (let startMs = 0; startMs < afterMs; startMs += windowMs) {
    const inside = times.filter(([atMs]) => atMs >= startMs && atMs < startMs + windowMs).map(([, ms]) => ms)
    if (computeQuantile(inside, 0.99) > usualMs * 1.2) lastMs = startMs + windowMs
  }
  return lastMs
}

/** Computes the work for attained requests in the crest, from 2 s after its start, relative to the work that the runners can do. */
function computeGoodput (result: RunResult, crest: { readonly startMs: number, readonly endMs: number }, capacity: number, seeds: number): number {
  const attained = new Set(result.requests.filter(request => request.outcome === 'attained').map(request => request.id))
  const startMs = crest.startMs + 2000
  let workMs = 0
  for (const span of result.spans) {
    if (!span.used || !attained.has(span.requestId)) continue
    const insideMs = Math.min(span.endMs, crest.endMs) - Math.max(span.startMs, startMs)
    if (insideMs > 0) workMs += span.workMs * insideMs / Math.max(span.endMs - span.startMs, 1)
  }
  return workMs / seeds / (crest.endMs - startMs) / capacity
}
