import type { Deployment } from './deployment.js'
import type { ScenarioMeasures } from './scenarioMeasures.js'

/** Renders a table of the main measures of one scenario, with one line for each policy. */
export function renderTable (deployment: Deployment, measures: ScenarioMeasures): string {
  const { callKind, shortKind, longKind } = deployment
  const columns: readonly (readonly [string, string, number])[] = [
    ['attainment', 'attained', 4],
    [`${callKind} attainment`, 'call attained', 4],
    [`${shortKind} attainment`, 'short attained', 4],
    [`${shortKind} refused`, 'short refused', 3],
    [`${shortKind} late`, 'short late', 3],
    [`${longKind} attainment`, 'long attained', 4],
    [`${longKind} refused`, 'long refused', 3],
    [`${callKind} p99 ms`, 'call p99', 0],
    [`${shortKind} p50 ms`, 'short p50', 0],
    [`${shortKind} p99 ms`, 'short p99', 0],
    [`${shortKind} p99.9 ms`, 'short p99.9', 0],
    ['short wait p99 ms', 'short wait p99', 0],
    ['long throughput', 'long throughput', 1],
    ['repeated share', 'repeated', 4],
    ['wasted share', 'wasted', 4],
    ['fairness', 'fairness', 3],
    ['crest goodput', 'crest goodput', 3],
    [`recovery ${callKind} ms`, 'call recovery', 0]
  ]
  const shown = columns.filter(([name]) => [...measures.policies.values()].some(values => values.has(name)))
  const lines = [['policy', ...shown.map(([, title]) => title)]]
  for (const [policy, values] of measures.policies) lines.push([policy, ...shown.map(([name, , digits]) => (values.get(name) ?? 0).toFixed(digits))])
  const widths = (lines[0] ?? []).map((_, i) => Math.max(...lines.map(line => line[i]?.length ?? 0)))
  const text = lines.map(line => line.map((cell, i) => i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0)).join('  ')).join('\n')
  return `${deployment.name} ${measures.scenario}\n${text}\n`
}
