import { placementConstants } from './constants.js'
import type { PlacementOrder } from './placementOrder.js'
import type { RunnerPlacement } from './runnerPlacement.js'

/**
 * Chooses the next order that brings the number of runners per model closer to the demand. Returns undefined
 * when the placement is close enough. Orders are chosen one at a time, so that the effect of an order is observed
 * before the next one. A model with demand is unloaded only while another runner has it.
 *
 * `demand` is the demand by model in generated tokens per second. A model without demand keeps its runners until
 * another model needs them, because a load uses the limited rate of the weight store and discards a warm cache.
 */
export function choosePlacementOrder (runners: readonly RunnerPlacement[], demand: ReadonlyMap<string, number>): PlacementOrder | undefined {
  const runnerCounts = countRunnersByModel(runners, demand)
  const unservedModel = [...demand.keys()].filter(model => runnerCounts.get(model) === 0).sort()[0]
  const hasEmptyRunner = runners.some(runner => runner.models.length === 0)
  const targetModel = unservedModel ?? findMostLoadedModel(demand, runnerCounts, hasEmptyRunner)
  if (targetModel === undefined) return undefined
  const freeRunner = findRunnerWithCapacity(runners, targetModel)
  if (freeRunner !== undefined) return { upstreamId: freeRunner.upstreamId, order: 'load', model: targetModel }
  const unload = findModelToUnload(runners, demand, runnerCounts, targetModel, unservedModel !== undefined)
  return unload === undefined ? undefined : { upstreamId: unload.runner.upstreamId, order: 'unload', model: unload.model }
}

function countRunnersByModel (runners: readonly RunnerPlacement[], demand: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>([...demand.keys()].map(model => [model, 0]))
  for (const model of runners.flatMap(runner => runner.models)) counts.set(model, (counts.get(model) ?? 0) + 1)
  return counts
}

function computeLoad (model: string, demand: ReadonlyMap<string, number>, runnerCounts: ReadonlyMap<string, number>): number {
  return (demand.get(model) ?? 0) / Math.max(1, runnerCounts.get(model) ?? 0)
}

/**
 * The model with the highest load per runner, if the load exceeds that of the least loaded model by the
 * imbalance factor. With an empty runner the factor is not required, because the unload that emptied the runner
 * may already have evened out the loads before the load order that follows it.
 */
function findMostLoadedModel (demand: ReadonlyMap<string, number>, runnerCounts: ReadonlyMap<string, number>, hasEmptyRunner: boolean): string | undefined {
  const models = [...runnerCounts.keys()].sort((a, b) => computeLoad(b, demand, runnerCounts) - computeLoad(a, demand, runnerCounts) || (a < b ? -1 : 1))
  const highest = models[0]
  const lowest = models.at(-1)
  if (highest === undefined || lowest === undefined) return undefined
  if (hasEmptyRunner && computeLoad(highest, demand, runnerCounts) > 0) return highest
  const isImbalanced = computeLoad(highest, demand, runnerCounts) > placementConstants.IMBALANCE_FACTOR * computeLoad(lowest, demand, runnerCounts)
  return isImbalanced ? highest : undefined
}

/**
 * Finds a runner that can load another model. Prefers the failure domain with the fewest runners of the model, so that
 * the model stays available when a domain fails.
 */
function findRunnerWithCapacity (runners: readonly RunnerPlacement[], model: string): RunnerPlacement | undefined {
  const runnersPerDomain = new Map<string, number>()
  for (const runner of runners.filter(runner => runner.models.includes(model))) {
    runnersPerDomain.set(runner.failureDomain, (runnersPerDomain.get(runner.failureDomain) ?? 0) + 1)
  }
  return runners
    .filter(runner => runner.models.length < runner.maxModels && !runner.models.includes(model))
    .sort((a, b) => (runnersPerDomain.get(a.failureDomain) ?? 0) - (runnersPerDomain.get(b.failureDomain) ?? 0) || a.models.length - b.models.length || (a.upstreamId < b.upstreamId ? -1 : 1))[0]
}

/**
 * Finds the runner and model to unload for `targetModel`. Every model with demand keeps a runner, and the unloaded model
 * ends up with less load per runner than `targetModel` has now, unless no runner has `targetModel` at all.
 */
function findModelToUnload (
  runners: readonly RunnerPlacement[],
  demand: ReadonlyMap<string, number>,
  runnerCounts: ReadonlyMap<string, number>,
  targetModel: string,
  isUnserved: boolean
): { readonly runner: RunnerPlacement, readonly model: string } | undefined {
  const targetLoad = computeLoad(targetModel, demand, runnerCounts)
  const candidates = runners
    .filter(runner => !runner.models.includes(targetModel))
    .flatMap(runner => runner.models.map(model => ({ runner, model, remaining: (runnerCounts.get(model) ?? 0) - 1 })))
    .filter(({ model, remaining }) => remaining >= 1 || (demand.get(model) ?? 0) === 0)
    .map(candidate => ({ ...candidate, loadAfter: (demand.get(candidate.model) ?? 0) / Math.max(1, candidate.remaining) }))
    .filter(({ loadAfter }) => isUnserved || loadAfter < targetLoad)
  return candidates.sort((a, b) => a.loadAfter - b.loadAfter || (a.runner.upstreamId < b.runner.upstreamId ? -1 : 1))[0]
}
