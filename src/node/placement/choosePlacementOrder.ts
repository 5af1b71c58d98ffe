import { placementConstants } from './constants.js'
import type { PlacementOrder } from './placementOrder.js'
import type { RunnerPlacement } from './runnerPlacement.js'

/**
 * The next order that brings the number of runners per model closer to the demand, or undefined when the
 * placement is good enough. One order at a time: its effect is observed before the next one, and a runner
 * that gives up a model keeps it until another runner has taken its place.
 *
 * `demand` is generated tokens a second by model; a model without demand keeps the runners it has until
 * another model needs them, because a load costs weight store rate and a warm cache.
 */
export function choosePlacementOrder (runners: readonly RunnerPlacement[], demand: ReadonlyMap<string, number>): PlacementOrder | undefined {
  const holders = countRunnersByModel(runners, demand)
  const missing = [...demand.keys()].filter(model => holders.get(model) === 0).sort()[0]
  const hasEmptyRunner = runners.some(runner => runner.models.length === 0)
  const neediest = missing ?? findMostLoadedModel(demand, holders, hasEmptyRunner)
  if (neediest === undefined) return undefined
  const idle = findRunnerWithCapacity(runners, neediest)
  if (idle !== undefined) return { upstreamId: idle.upstreamId, order: 'load', model: neediest }
  const surplus = findModelToUnload(runners, demand, holders, neediest, missing !== undefined)
  return surplus === undefined ? undefined : { upstreamId: surplus.runner.upstreamId, order: 'unload', model: surplus.model }
}

function countRunnersByModel (runners: readonly RunnerPlacement[], demand: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>([...demand.keys()].map(model => [model, 0]))
  for (const model of runners.flatMap(runner => runner.models)) counts.set(model, (counts.get(model) ?? 0) + 1)
  return counts
}

function computeLoad (model: string, demand: ReadonlyMap<string, number>, holders: ReadonlyMap<string, number>): number {
  return (demand.get(model) ?? 0) / Math.max(1, holders.get(model) ?? 0)
}

/**
 * The model with the highest load per runner, when it stands out against the least loaded one. An empty
 * runner is given to it in any case: an unload may have evened out the loads before the load that follows it.
 */
function findMostLoadedModel (demand: ReadonlyMap<string, number>, holders: ReadonlyMap<string, number>, hasEmptyRunner: boolean): string | undefined {
  const models = [...holders.keys()].sort((a, b) => computeLoad(b, demand, holders) - computeLoad(a, demand, holders) || (a < b ? -1 : 1))
  const highest = models[0]
  const lowest = models.at(-1)
  if (highest === undefined || lowest === undefined) return undefined
  if (hasEmptyRunner && computeLoad(highest, demand, holders) > 0) return highest
  const isImbalanced = computeLoad(highest, demand, holders) > placementConstants.IMBALANCE_FACTOR * computeLoad(lowest, demand, holders)
  return isImbalanced ? highest : undefined
}

/** Prefers the failure domain with the fewest holders of the model, so that losing one domain leaves the model served. */
function findRunnerWithCapacity (runners: readonly RunnerPlacement[], model: string): RunnerPlacement | undefined {
  const perDomain = new Map<string, number>()
  for (const runner of runners.filter(runner => runner.models.includes(model))) {
    perDomain.set(runner.failureDomain, (perDomain.get(runner.failureDomain) ?? 0) + 1)
  }
  return runners
    .filter(runner => runner.models.length < runner.maxModels && !runner.models.includes(model))
    .sort((a, b) => (perDomain.get(a.failureDomain) ?? 0) - (perDomain.get(b.failureDomain) ?? 0) || a.models.length - b.models.length || (a.upstreamId < b.upstreamId ? -1 : 1))[0]
}

/** A runner of the least loaded model that can spare it: what it serves stays served, and less loaded than the neediest. */
function findModelToUnload (
  runners: readonly RunnerPlacement[],
  demand: ReadonlyMap<string, number>,
  holders: ReadonlyMap<string, number>,
  neediest: string,
  isMissing: boolean
): { readonly runner: RunnerPlacement, readonly model: string } | undefined {
  const needed = computeLoad(neediest, demand, holders)
  const candidates = runners
    .filter(runner => !runner.models.includes(neediest))
    .flatMap(runner => runner.models.map(model => ({ runner, model, remaining: (holders.get(model) ?? 0) - 1 })))
    .filter(({ model, remaining }) => remaining >= 1 || (demand.get(model) ?? 0) === 0)
    .map(candidate => ({ ...candidate, loadAfter: (demand.get(candidate.model) ?? 0) / Math.max(1, candidate.remaining) }))
    .filter(({ loadAfter }) => isMissing || loadAfter < needed)
  return candidates.sort((a, b) => a.loadAfter - b.loadAfter || (a.runner.upstreamId < b.runner.upstreamId ? -1 : 1))[0]
}
