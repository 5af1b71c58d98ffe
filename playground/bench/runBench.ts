import type { BenchOptions } from './benchOptions.js'
import { BenchOptionError } from './benchOptionError.js'
import type { BenchRecord } from './benchRecord.js'
import type { BoundResult } from './boundResult.js'
import { buildDeployment } from './buildDeployment.js'
import { buildScenarios } from './buildScenarios.js'
import { compareBounds } from './compareBounds.js'
import { renderTable } from './renderTable.js'
import { runScenario } from './runScenario.js'

/** Runs the chosen scenarios and hands each table to `print`. Throws `BenchOptionError`. */
export function runBench (options: BenchOptions, print: (text: string) => void): { readonly records: readonly BenchRecord[], readonly bounds: readonly BoundResult[] } {
  const records: BenchRecord[] = []
  const bounds: BoundResult[] = []
  for (const example of options.examples) {
    const deployment = buildDeployment(example, options.settings)
    const scenarios = buildScenarios(deployment, options.settings)
    const unknown = options.scenarios.find(name => !scenarios.some(scenario => scenario.name === name))
    if (unknown !== undefined) throw new BenchOptionError(`unknown scenario ${unknown}; known: ${scenarios.map(scenario => scenario.name).join(', ')}`)
    const chosen = scenarios.filter(scenario => options.scenarios.length === 0 || options.scenarios.includes(scenario.name))
    const measures = chosen.map(scenario => {
      const run = runScenario(deployment, scenario, options, records)
      print(renderTable(deployment, run))
      return run
    })
    bounds.push(...compareBounds(deployment, measures, chosen.length === scenarios.length))
  }
  return { records, bounds }
}
