import type { KindSummary } from './kindSummary.js'

const columns: readonly (readonly [string, (summary: KindSummary) => string])[] = [
  ['kind', summary => summary.kind],
  ['sent', summary => String(summary.sent)],
  ['whole', summary => String(summary.whole)],
  ['refused (not run)', summary => String(summary.refused)],
  ['abandoned', summary => String(summary.abandoned)],
  // Includes answers that failed the check.
  ['failed', summary => String(summary.failed + summary.wrong)],
  ['p50 ms', summary => formatMs(summary, summary.p50Ms)],
  ['p99 ms', summary => formatMs(summary, summary.p99Ms)],
  ['attainment', summary => `${(summary.attainment * 100).toFixed(1)}%`],
  // Highest attainment in the objectives of the contracts.
  ['promised', summary => `${(summary.promisedAttainment * 100).toFixed(1)}%`]
]

/** Renders the summaries as a plain text table. */
export function renderSummaries (summaries: readonly KindSummary[]): string {
  const rows = [columns.map(([title]) => title), ...summaries.map(summary => columns.map(([, format]) => format(summary)))]
  const widths = columns.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows
    .map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  ').trimEnd() + '\n')
    .join('')
}

function formatMs (summary: KindSummary, milliseconds: number): string {
  return summary.whole === 0 ? '-' : milliseconds.toFixed(0)
}
