import type { ExperimentReport } from './experimentReport.js'
import type { KindSummary } from './kindSummary.js'

/** The report as text. */
export function renderReport (report: ExperimentReport): string {
  const lines = [
    `${report.world} ${report.day} seed ${report.seed}: credit ${report.total.credit.toFixed(3)} of at most ${report.creditBound.toFixed(3)}, ` +
      `${report.refusals} refused attempts, ${report.readTokens} prompt tokens read`,
    '',
    renderRow(['requests', 'asked', 'on time', 'late', 'refused', 'failed', 'credit', 'p50 ms', 'p95 ms']),
    ...[report.total, ...report.kinds].map(renderSummary),
    '',
    renderRow(['sent from', 'asked', 'on time', 'late', 'refused', 'failed', 'credit', 'p50 ms', 'p95 ms']),
    ...report.windows.map(renderSummary),
    '',
    renderRow(['stage service', 'upstreams', 'calls', 'pieces', 'a call', 'busy', 'no room', 'gone', 'crossed MB']),
    ...report.services.map(service => renderRow([
      service.name,
      service.upstreams,
      service.calls,
      service.pieces,
      service.piecesPerCall.toFixed(1),
      service.busyShare.toFixed(2),
      service.withoutRoom,
      service.inputsGone,
      (service.crossedBytes / 1e6).toFixed(0)
    ]))
  ]
  if (report.notPlayed.length > 0) lines.push('', `not played: ${report.notPlayed.join(', ')}`)
  return lines.join('\n') + '\n'
}

function renderSummary (summary: KindSummary): string {
  const { name, asked, onTime, late, refused, failed, credit, medianFirstEventMs, p95FirstEventMs } = summary
  return renderRow([name, asked, onTime, late, refused, failed, credit.toFixed(3), medianFirstEventMs, p95FirstEventMs])
}

function renderRow (cells: ReadonlyArray<string | number>): string {
  return cells.map((cell, i) => i === 0 ? String(cell).padEnd(18) : String(cell).padStart(11)).join('')
}
