import { proveConstants } from '../constants.js'
import type { Violation } from '../history/violation.js'
import type { ScenarioResult } from '../scenarioResult.js'

/** Renders a line of totals, the counts of errors and violations, and the violations of each kind with the shortest traces. */
export function renderResult (name: string, seed: number, result: ScenarioResult): string {
  const { requests, faults, violations, whole, refused, unknown } = result
  const figures = `${requests} requests, ${faults.length} fault events, ${violations.length} violations; ${whole} answered completely, ${refused} refused before execution, ${unknown} with unknown outcome`
  const kinds = new Map<string, Violation[]>()
  for (const violation of violations) {
    const kind = `${violation.invariant}: ${violation.detail.replace(/\d+/g, 'N')}`
    kinds.set(kind, [...kinds.get(kind) ?? [], violation])
  }
  const shown = [...kinds.values()].flatMap(list => list.slice(0, proveConstants.maxShownPerKind))
  return [
    `${violations.length === 0 ? 'passed' : 'FAILED'}  ${name}, seed ${seed}: ${figures}`,
    ...[...result.errorCounts].map(([name, count]) => `  without a complete answer: ${name}: ${count}`),
    ...[...kinds].map(([kind, list]) => `  ${list.length} x ${kind}`),
    ...shown.flatMap(({ invariant, subject, detail, trace }) => [`  ${invariant} ${subject}: ${detail}`, ...trace.map(line => `    ${line}`)])
  ].join('\n')
}
