import { burnConstants } from './constants.js'
import { burnStyle } from './burnStyle.js'
import { encodeHtml } from './encodeHtml.js'
import { formatBurnRate } from './formatBurnRate.js'
import { formatCauses } from './formatCauses.js'
import { formatShare } from './formatShare.js'
import { renderBurnPlot } from './renderBurnPlot.js'
import type { BurnCause } from './burnCause.js'
import type { BurnReport } from './burnReport.js'
import type { BurnReportEntry } from './burnReportEntry.js'

const columnTitles = ['account', 'kind', 'target', 'requests 6h', 'attained 6h', 'attained 1h', 'budget left', 'burn 5m', 'burn 1h', 'burn 6h', 'excluded']

/** Renders the burn report as one HTML page without scripts or external resources; plots are inline SVG. */
export function renderBurnHtml (report: BurnReport): string {
  const time = new Date(report.atMs).toISOString().replace('T', ' ').slice(0, 19)
  const plotted = report.entries.slice(0, burnConstants.maximumPlots)
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Burn report, ${time} UTC</title>
<style>${burnStyle}</style>
</head>
<body>
<h1>Burn report</h1>
<p class="dim">${time} UTC, ${report.hostIds.length} hosts. A burn rate of 1x spends the error budget exactly.</p>
${renderNotices(report).join('\n')}
<h2>Budgets</h2>
${renderTable(report.entries)}
<h2>Last hour</h2>
<p class="dim">Requests in 5-minute buckets; the marked part missed the objective.</p>
<div class="cards">
${plotted.map(entry => renderCard(entry, report.atMs)).join('\n')}
</div>
</body>
</html>
`
}

function renderNotices ({ missingHostIds, omittedEntries, entries }: BurnReport): readonly string[] {
  const notices = [
    missingHostIds.length > 0 ? `No answer from ${missingHostIds.join(', ')}; their requests are not counted.` : '',
    omittedEntries > 0 ? `${omittedEntries} entries with fewer missed requests are left out.` : '',
    entries.length > burnConstants.maximumPlots ? `Plots are shown for the first ${burnConstants.maximumPlots} entries.` : ''
  ]
  return notices.filter(notice => notice !== '').map(notice => `<p class="notice">${encodeHtml(notice)}</p>`)
}

function renderTable (entries: readonly BurnReportEntry[]): string {
  if (entries.length === 0) return '<p>No requests in the last 6 hours.</p>'
  const head = columnTitles.map(title => `<th scope="col">${title}</th>`).join('')
  return `<div class="scroll"><table>\n<thead><tr>${head}</tr></thead>\n<tbody>\n${entries.map(renderRow).join('\n')}\n</tbody>\n</table></div>`
}

function renderRow (entry: BurnReportEntry): string {
  const { objective, windows, budgetLeft } = entry
  const cells = [
    encodeHtml(entry.account),
    encodeHtml(entry.kind),
    objective === null ? '-' : `${formatShare(objective.attainment)} in ${objective.latencyMs} ms`,
    String(windows['6h'].total),
    formatShare(windows['6h'].attainment),
    formatShare(windows['1h'].attainment),
    `<span class="${chooseBudgetClass(budgetLeft)}">${formatShare(budgetLeft)}</span>`,
    ...(['5m', '1h', '6h'] as const).map(window => `<span class="${chooseRateClass(windows[window].burnRate)}">${formatBurnRate(windows[window].burnRate)}</span>`),
    String(windows['6h'].excluded)
  ]
  return `<tr>${cells.map(cell => `<td>${cell}</td>`).join('')}</tr>`
}

function renderCard (entry: BurnReportEntry, nowMs: number): string {
  const { codes, stages, upstreams } = entry.causes
  const causes = [['code', codes], ['stage', stages], ['upstream', upstreams]] as const
  const list = causes.filter(([, items]) => items.length > 0).map(([name, items]) => renderCauses(name, items)).join('')
  return `<section class="card"><h3>${encodeHtml(entry.account)} <span class="dim">${encodeHtml(entry.kind)}</span></h3>` +
    renderBurnPlot(entry, nowMs) +
    (list === '' ? '<p class="good">No missed request.</p>' : `<dl>${list}</dl>`) +
    '</section>'
}

function renderCauses (name: string, causes: readonly BurnCause[]): string {
  return `<dt>${name}</dt><dd>${encodeHtml(formatCauses(causes, burnConstants.maximumCauses))}</dd>`
}

function chooseBudgetClass (budgetLeft: number | null): string {
  if (budgetLeft === null) return 'dim'
  return budgetLeft <= 0 ? 'bad' : budgetLeft < 0.25 ? 'warn' : 'good'
}

function chooseRateClass (burnRate: number | null): string {
  if (burnRate === null) return 'dim'
  return burnRate > burnConstants.fastBurnRate ? 'bad' : burnRate > 1 ? 'warn' : 'good'
}
