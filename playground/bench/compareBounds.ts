import type { BoundResult } from './boundResult.js'
import type { Deployment } from './deployment.js'
import type { PolicyName } from './policyName.js'
import type { ScenarioMeasures } from './scenarioMeasures.js'

const baselines: readonly PolicyName[] = ['round-robin', 'least-outstanding', 'fifo']

/** Weights of the scenarios that matter most to each deployment; all others have the weight 1. */
const weights: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  ferry: { slowed: 3, stragglers: 3, all: 2 },
  kouign: { crest: 3, swing: 3, 'short-behind-long': 3, all: 2 }
}

/** Compares the measures of the scenarios with the bounds. `isComplete`: whether all scenarios of the deployment were run. */
export function compareBounds (deployment: Deployment, scenarios: readonly ScenarioMeasures[], isComplete: boolean): readonly BoundResult[] {
  const results: BoundResult[] = []
  const getMeasure = (scenario: string, measure: string, policy: PolicyName = 'lycheetrack') => scenarios.find(entry => entry.scenario === scenario)?.policies.get(policy)?.get(measure)
  const addUpperBound = (name: string, value: number | undefined, bound: number | undefined) => {
    if (value !== undefined && bound !== undefined) results.push({ name: `${deployment.name} ${name}`, value, bound, passed: value <= bound })
  }
  const addLowerBound = (name: string, value: number | undefined, bound: number | undefined) => {
    if (value !== undefined && bound !== undefined) results.push({ name: `${deployment.name} ${name}`, value, bound, passed: value >= bound })
  }
  const { callKind, shortKind } = deployment
  addUpperBound(`slowed: ${shortKind} p99 relative to steady`, computeRatio(getMeasure('slowed', `${shortKind} p99 ms`), getMeasure('steady', `${shortKind} p99 ms`)), 1.5)
  for (const { scenario } of scenarios) addUpperBound(`${scenario}: repeated work`, getMeasure(scenario, 'repeated share'), 0.05)
  addLowerBound(`crest: ${callKind} attained`, getMeasure('crest', `crest ${callKind} attainment`), 0.99)
  addLowerBound('crest: goodput relative to capacity', getMeasure('crest', 'crest goodput'), 0.95)
  addUpperBound('crest: refusals in ms', getMeasure('crest', 'refusal ms'), 50)
  for (const kind of [callKind, shortKind]) {
    // The bound allows 10% for the noise of a p99 over 5 s.
    addUpperBound(`crest: ${kind} p99 from 2 s after, relative to steady`, computeRatio(getMeasure('crest', `after crest ${kind} p99 ms`), getMeasure('steady', `${kind} p99 ms`)), 1.1)
  }
  if (deployment.name === 'kouign') {
    addUpperBound(`short behind long: ${callKind} p99 relative to alone`, computeRatio(getMeasure('short-behind-long', `${callKind} p99 ms`), getMeasure('short-alone', `${callKind} p99 ms`)), 1.3)
    addLowerBound('short behind long: throughput relative to first in first out', computeRatio(getMeasure('short-behind-long', 'long throughput'), getMeasure('short-behind-long', 'long throughput', 'fifo')), 0.9)
  }
  addUpperBound('large account: most of contract in 10 s', getMeasure('large-account', 'most of contract'), 1.05)
  addLowerBound('large account: least of contract in 10 s in which it is asked for', getMeasure('large-account', 'least of contract'), 0.95)
  for (const { scenario } of scenarios) addLowerBound(`${scenario}: attainment relative to oracle`, computeRatio(getMeasure(scenario, 'attainment'), getMeasure(scenario, 'attainment', 'oracle')), 0.9)
  // The weights balance all scenarios of the deployment; a part of the scenarios would have another balance.
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
