import { computeQuantile } from './computeQuantile.js'
import type { Deployment } from './deployment.js'
import { computeCrestMeasures } from './computeCrestMeasures.js'
import { computeLimitMeasures } from './computeLimitMeasures.js'
import type { RequestResult } from './requestResult.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'

/** Time before the measurement starts, in which the policies learn latencies. */
const warmUpMs = 4000

/** Computes the measures of a run, or of the merged runs of several seeds, by name. */
export function computeMeasures (deployment: Deployment, scenario: Scenario, result: RunResult, seeds: number): ReadonlyMap<string, number> {
  const measures = new Map<string, number>()
  const requests = result.requests.filter(request => request.atMs >= warmUpMs && request.reason !== 'limit_reached')
  measures.set('attainment', computeAttainment(deployment, requests))
  for (const kind of deployment.kinds) addKindMeasures(measures, kind.name, requests)
  measures.set('short wait p99 ms', computeQuantile(result.shortWaits.filter(wait => wait.atMs >= warmUpMs).map(wait => wait.waitMs), 0.99))
  measures.set('fairness', computeFairness(deployment, requests))
  measures.set('refusal ms', Math.max(0, ...requests.filter(request => request.outcome === 'refused').map(request => request.elapsedMs)))
  addCostMeasures(measures, result)
  addLongThroughput(measures, deployment, scenario, result, seeds)
  for (const [name, value] of computeCrestMeasures(deployment, scenario, result, seeds)) measures.set(name, value)
  for (const [name, value] of computeLimitMeasures(deployment, scenario, result)) measures.set(name, value)
  return measures
}

function computeAttainedShare (requests: readonly RequestResult[]): number {
  return requests.length === 0 ? 1 : requests.filter(request => request.outcome === 'attained').length / requests.length
}

/** Computes the mean over the request kinds of the share attained within the contract, weighted by priority + 1. */
function computeAttainment (deployment: Deployment, requests: readonly RequestResult[]): number {
  let sum = 0
  let weights = 0
  for (const kind of deployment.kinds) {
    sum += (kind.priority + 1) * computeAttainedShare(requests.filter(request => request.kind === kind.name))
    weights += kind.priority + 1
  }
  return sum / weights
}

function addKindMeasures (measures: Map<string, number>, kind: string, requests: readonly RequestResult[]): void {
  const own = requests.filter(request => request.kind === kind)
  const times = own.filter(request => request.outcome === 'attained' || request.outcome === 'late').map(request => request.elapsedMs)
  measures.set(`${kind} attainment`, computeAttainedShare(own))
  for (const outcome of ['late', 'failed', 'refused']) measures.set(`${kind} ${outcome}`, own.filter(request => request.outcome === outcome).length / Math.max(1, own.length))
  measures.set(`${kind} p50 ms`, computeQuantile(times, 0.5))
  measures.set(`${kind} p99 ms`, computeQuantile(times, 0.99))
  measures.set(`${kind} p99.9 ms`, computeQuantile(times, 0.999))
}

/** Computes Jain's fairness index of the attained shares of the accounts; 1 means that all shares are equal. */
function computeFairness (deployment: Deployment, requests: readonly RequestResult[]): number {
  const shares = deployment.accounts.map((_, i) => computeAttainedShare(requests.filter(request => request.account === `account-${i}`)))
  const sum = shares.reduce((a, b) => a + b, 0)
  const squares = shares.reduce((a, b) => a + b * b, 0)
  return squares === 0 ? 1 : sum * sum / (shares.length * squares)
}

function addCostMeasures (measures: Map<string, number>, result: RunResult): void {
  const total = { done: 0, wasted: 0, repeated: 0 }
  for (const [key, cost] of [...result.stages].sort((a, b) => a[0] < b[0] ? -1 : 1)) {
    measures.set(`${key} work s`, cost.done / 1000)
    measures.set(`${key} wasted s`, cost.wasted / 1000)
    measures.set(`${key} repeated s`, cost.repeated / 1000)
    total.done += cost.done
    total.wasted += cost.wasted
    total.repeated += cost.repeated
  }
  measures.set('wasted share', total.wasted / Math.max(total.done, 1))
  measures.set('repeated share', total.repeated / Math.max(total.done - total.repeated, 1))
}

/** Adds the useful work for the long kind, in seconds of work for each second of demand. */
function addLongThroughput (measures: Map<string, number>, deployment: Deployment, scenario: Scenario, result: RunResult, seeds: number): void {
  const long = new Set(result.requests.filter(request => request.kind === deployment.longKind).map(request => request.id))
  let workMs = 0
  for (const span of result.spans) {
    if (!span.used || !long.has(span.requestId)) continue
    const insideMs = Math.min(span.endMs, scenario.durationMs) - Math.max(span.startMs, warmUpMs)
    if (insideMs > 0) workMs += span.workMs * insideMs / Math.max(span.endMs - span.startMs, 1)
  }
  measures.set('long throughput', workMs / seeds / (scenario.durationMs - warmUpMs))
}
