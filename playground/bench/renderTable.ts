import type { Deployment } from './deployment.js'
import type { ScenarioMeasures } from './scenarioMeasures.js'

/** A table of the main measures of one scenario, one line for each policy. */
export function renderTable (deployment: Deployment, measures: ScenarioMeasures): string {
  const { callKind, shortKind, longKind } = deployment
  const columns: readonly (readonly [string, string, number])[] = [
    ['attainment', 'attained', 4],
    [`${callKind} attainment`, 'call att', 4],
    [`${shortKind} attainment`, 'short att', 4],
    [`${shortKind} refused`, 'refused', 3],
    [`${shortKind} late`, 'late', 3],
    [`${longKind} attainment`, 'long att', 4],
    [`${longKind} refused`, 'refused', 3],
    [`${callKind} p99 ms`, 'call p99', 0],
    [`${shortKind} p50 ms`, 'short p50', 0],
    [`${shortKind} p99 ms`, 'short p99', 0],
    [`${shortKind} p99.9 ms`, 'p99.9', 0],
    ['short wait p99 ms', 'wait p99', 0],
    ['long throughput', 'long thr', 1],
    ['repeated share', 'repeated', 4],
    ['wasted share', 'wasted', 4],
    ['fairness', 'fairness', 3],
    ['crest goodput', 'goodput', 3],
    [`recovery ${callKind} ms`, 'recovery', 0]
  ]
  const shown = columns.filter(([name]) => [...measures.policies.values()].some(values => values.has(name)))
  const lines = [['policy', ...shown.map(([, title]) => title)]]
  for (const [policy, values] of measures.policies) lines.push([policy, ...shown.map(([name, , digits]) => (values.get(name) ?? 0).toFixed(digits))])
  const widths = (lines[0] ?? []).map((_, i) => Math.max(...lines.map(line => line[i]?.length ?? 0)))
  const text = lines.map(line => line.map((cell, i) => i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0)).join('  ')).join('\n')
  return `${deployment.name} ${measures.scenario}\n${text}\n`
}
