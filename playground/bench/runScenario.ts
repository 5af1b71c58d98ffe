import type { BenchOptions } from './benchOptions.js'
import type { BenchRecord } from './benchRecord.js'
import { buildTrace } from './buildTrace.js'
import { computeMeasures } from './computeMeasures.js'
import type { Deployment } from './deployment.js'
import { mergeRuns } from './mergeRuns.js'
import type { PolicyName } from './policyName.js'
import { runSimulation } from './runSimulation.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'
import type { ScenarioMeasures } from './scenarioMeasures.js'

/** Runs one scenario under all policies and seeds; adds the measures of each run to `records`. */
export function runScenario (deployment: Deployment, scenario: Scenario, options: BenchOptions, records: BenchRecord[]): ScenarioMeasures {
  const byPolicy = new Map<PolicyName, ReadonlyMap<string, number>>()
  const add = (policy: PolicyName, seed: number | 'all', measures: ReadonlyMap<string, number>) => {
    for (const [measure, value] of measures) records.push({ example: deployment.name, scenario: scenario.name, policy, seed, measure, value })
  }
  for (const policy of options.policies) {
    const runs: RunResult[] = []
    for (const seed of options.seeds) {
      const run = runSimulation(deployment, scenario, buildTrace(deployment, scenario, options.settings, seed), policy, seed)
      if (options.jsonFile !== undefined) add(policy, seed, computeMeasures(deployment, scenario, run, 1))
      runs.push(run)
    }
    const pooled = computeMeasures(deployment, scenario, mergeRuns(runs), runs.length)
    add(policy, 'all', pooled)
    byPolicy.set(policy, pooled)
  }
  return { scenario: scenario.name, policies: byPolicy }
}
