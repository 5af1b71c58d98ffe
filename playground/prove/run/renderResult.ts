import { proveConstants } from '../constants.js'
import type { ScenarioResult } from '../scenarioResult.js'

/** One line of figures, followed by the violations with the shortest traces. */
export function renderResult (name: string, seed: number, result: ScenarioResult): string {
  const { requests, faults, violations, whole, refused, unknown } = result
  const figures = `${requests} requests, ${faults.length} fault events, ${violations.length} violations; ${whole} whole, ${refused} refused as not run, ${unknown} unknown`
  const counts = new Map<string, number>()
  const details = new Map<string, number>()
  for (const { invariant, detail } of violations) {
    const name = `${invariant}: ${detail.replace(/\d+/g, 'N')}`
    counts.set(invariant, (counts.get(invariant) ?? 0) + 1)
    details.set(name, (details.get(name) ?? 0) + 1)
  }
  const shown = [...counts.keys()].flatMap(invariant => violations.filter(violation => violation.invariant === invariant).slice(0, proveConstants.shownViolations))
  return [
    `${violations.length === 0 ? 'passed' : 'FAILED'}  ${name}, seed ${seed}: ${figures}`,
    ...[...result.codes].map(([name, count]) => `  not answered: ${name}: ${count}`),
    ...[...details].map(([name, count]) => `  ${count} times ${name}`),
    ...shown.flatMap(({ invariant, subject, detail, trace }) => [`  ${invariant} ${subject}: ${detail}`, ...trace.map(line => `    ${line}`)])
  ].join('\n')
}
