import { renderTable } from '../benchProcess/renderTable.js'
import type { ExperimentReport } from './experimentReport.js'
import type { KindSummary } from './kindSummary.js'

const bytesPerMb = 1_000_000
const outcomeTitles = ['asked', 'on time', 'late', 'refused', 'failed', 'credit', 'p50 ms', 'p95 ms']

/** Renders the report as plain text. */
export function renderReport (report: ExperimentReport): string {
  const { world, day, seed, total, kinds, windows, services, creditBound, refusals, readTokens, notPlayed } = report
  const parts = [
    `${world} ${day} seed ${seed}: credit ${total.credit.toFixed(3)} of at most ${creditBound.toFixed(3)}, ` +
      `${refusals} refused attempts, ${readTokens} prompt tokens read\n`,
    renderTable([['requests', ...outcomeTitles], ...[total, ...kinds].map(buildSummaryRow)]),
    renderTable([['sent from', ...outcomeTitles], ...windows.map(buildSummaryRow)]),
    renderTable([
      ['stage service', 'upstreams', 'calls', 'pieces', 'pieces/call', 'busy', 'no room', 'inputs gone', 'cross-domain MB'],
      ...services.map(service => [
        service.name,
        String(service.upstreams),
        String(service.calls),
        String(service.pieces),
        service.piecesPerCall.toFixed(1),
        service.busyShare.toFixed(2),
        String(service.withoutRoom),
        String(service.inputsGone),
        (service.crossedBytes / bytesPerMb).toFixed(0)
      ])
    ])
  ]
  if (notPlayed.length > 0) parts.push(`not simulated: ${notPlayed.join(', ')}\n`)
  return parts.join('\n')
}

function buildSummaryRow (summary: KindSummary): readonly string[] {
  const { name, asked, onTime, late, refused, failed, credit, medianFirstEventMs, p95FirstEventMs } = summary
  return [name, ...[asked, onTime, late, refused, failed].map(String), credit.toFixed(3), ...[medianFirstEventMs, p95FirstEventMs].map(String)]
}
