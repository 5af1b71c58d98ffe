import { formatBurnRate } from './formatBurnRate.js'
import { formatCauses } from './formatCauses.js'
import { formatShare } from './formatShare.js'
import { formatTable } from '../cli/formatTable.js'
import type { BurnReport } from './burnReport.js'
import type { BurnReportEntry } from './burnReportEntry.js'

const columnTitles = ['account', 'kind', 'target', 'within', 'requests 6h', 'attained 6h', 'attained 1h', 'budget left', 'burn 5m', 'burn 1h', 'burn 6h', 'excluded']

/** Renders the burn report as a text table, followed by the causes of the missed requests of each entry. */
export function renderBurnText (report: BurnReport): string {
  const title = `burn report of ${new Date(report.atMs).toISOString()}, ${report.hostIds.length} hosts`
  const missing = report.missingHostIds.length === 0 ? [] : [`no answer from: ${report.missingHostIds.join(', ')} (their requests are not counted)`]
  const omitted = report.omittedEntries === 0 ? [] : [`${report.omittedEntries} entries with fewer missed requests left out`]
  const table = report.entries.length === 0 ? ['no requests in the last 6 hours'] : formatTable(columnTitles, report.entries.map(formatRow))
  const causes = report.entries.flatMap(formatCauseLines)
  const heading = causes.length === 0 ? [] : ['', 'what spent the budget in the last hour']
  return [title, ...missing, '', ...table, ...omitted, ...heading, ...causes].join('\n')
}

function formatRow (entry: BurnReportEntry): readonly string[] {
  const { objective, windows } = entry
  return [
    entry.account,
    entry.kind,
    formatShare(objective?.attainment ?? null),
    objective === null ? '-' : `${objective.latencyMs} ms`,
    String(windows['6h'].total),
    formatShare(windows['6h'].attainment),
    formatShare(windows['1h'].attainment),
    formatShare(entry.budgetLeft),
    formatBurnRate(windows['5m'].burnRate),
    formatBurnRate(windows['1h'].burnRate),
    formatBurnRate(windows['6h'].burnRate),
    String(windows['6h'].excluded)
  ]
}

function formatCauseLines (entry: BurnReportEntry): readonly string[] {
  const { codes, stages, upstreams } = entry.causes
  const parts = [['code', codes], ['stage', stages], ['upstream', upstreams]] as const
  const shown = parts.filter(([, causes]) => causes.length > 0).map(([name, causes]) => `${name}: ${formatCauses(causes)}`)
  return shown.length === 0 ? [] : [`${entry.account} ${entry.kind}: ${shown.join('; ')}`]
}
