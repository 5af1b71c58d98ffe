import type { BoundResult } from './boundResult.js'
import type { Deployment } from './deployment.js'
import type { PolicyName } from './policyName.js'
import type { ScenarioMeasures } from './scenarioMeasures.js'

const baselines: readonly PolicyName[] = ['round-robin', 'least-outstanding', 'fifo']

/** Weights of scenarios by what the deployment weighs most; all others weigh 1. */
const weights: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  ferry: { slowed: 3, stragglers: 3, all: 2 },
  kouign: { crest: 3, swing: 3, 'short-behind-long': 3, all: 2 }
}

/** Compares the scenarios that were run with the bounds; `complete` when all scenarios were run. */
export function compareBounds (deployment: Deployment, scenarios: readonly ScenarioMeasures[], isComplete: boolean): readonly BoundResult[] {
  const results: BoundResult[] = []
  const get = (scenario: string, measure: string, policy: PolicyName = 'lycheetrack') => scenarios.find(entry => entry.scenario === scenario)?.policies.get(policy)?.get(measure)
  const addUpperBound = (name: string, value: number | undefined, bound: number | undefined) => {
    if (value !== undefined && bound !== undefined) results.push({ name: `${deployment.name} ${name}`, value, bound, passed: value <= bound })
  }
  const addLowerBound = (name: string, value: number | undefined, bound: number | undefined) => {
    if (value !== undefined && bound !== undefined) results.push({ name: `${deployment.name} ${name}`, value, bound, passed: value >= bound })
  }
  const { callKind, shortKind } = deployment
  addUpperBound(`slowed: ${shortKind} p99 relative to steady`, computeRatio(get('slowed', `${shortKind} p99 ms`), get('steady', `${shortKind} p99 ms`)), 1.5)
  for (const { scenario } of scenarios) addUpperBound(`${scenario}: repeated work`, get(scenario, 'repeated share'), 0.05)
  addLowerBound(`crest: ${callKind} attained`, get('crest', `crest ${callKind} attainment`), 0.99)
  addLowerBound('crest: goodput relative to capacity', get('crest', 'crest goodput'), 0.95)
  addUpperBound('crest: refusals in ms', get('crest', 'refusal ms'), 50)
  for (const kind of [callKind, shortKind]) {
    // A tenth is allowed for the noise of a p99 of 5 s.
    addUpperBound(`crest: ${kind} p99 from 2 s after, relative to steady`, computeRatio(get('crest', `after crest ${kind} p99 ms`), get('steady', `${kind} p99 ms`)), 1.1)
  }
  if (deployment.name === 'kouign') {
    addUpperBound(`short behind long: ${callKind} p99 relative to alone`, computeRatio(get('short-behind-long', `${callKind} p99 ms`), get('short-alone', `${callKind} p99 ms`)), 1.3)
    addLowerBound('short behind long: throughput relative to first in first out', computeRatio(get('short-behind-long', 'long throughput'), get('short-behind-long', 'long throughput', 'fifo')), 0.9)
  }
  addUpperBound('large account: most of contract in 10 s', get('large-account', 'most of contract'), 1.05)
  addLowerBound('large account: least of contract in 10 s in which it is asked for', get('large-account', 'least of contract'), 0.95)
  for (const { scenario } of scenarios) addLowerBound(`${scenario}: attainment relative to oracle`, computeRatio(get(scenario, 'attainment'), get(scenario, 'attainment', 'oracle')), 0.9)
  // The weighted measure is over all scenarios of the deployment; a part of them has another balance.
  if (isComplete) for (const baseline of baselines) addLowerBound(`weighted attainment relative to ${baseline}`, computeRatio(computeWeighted(deployment, scenarios, 'lycheetrack'), computeWeighted(deployment, scenarios, baseline)), 1)
  return results
}

function computeRatio (a: number | undefined, b: number | undefined): number | undefined {
  return a === undefined || b === undefined || b === 0 ? undefined : a / b
}

function computeWeighted (deployment: Deployment, scenarios: readonly ScenarioMeasures[], policy: PolicyName): number {
  let sum = 0
  let total = 0
  for (const { scenario, policies } of scenarios) {
    const weight = weights[deployment.name]?.[scenario] ?? 1
    sum += weight * (policies.get(policy)?.get('attainment') ?? 0)
    total += weight
  }
  return sum / Math.max(total, 1)
}
