import type { ExperimentReport } from './experimentReport.js'
import type { KindSummary } from './kindSummary.js'

const width = 720
const height = 180
const margin = 40
const colours = ['#1b7837', '#e08214', '#b2182b', '#762a83', '#2166ac', '#4d4d4d']

interface Series {
  readonly name: string
  readonly points: ReadonlyArray<readonly [number, number]>
}

/** Renders an HTML page with a plot of the outcomes and a plot of the queues for each report. */
export function renderPlots (reports: readonly ExperimentReport[]): string {
  const sections = reports.map(report => `<section>
<h2>${report.world}, ${report.day}, seed ${report.seed}: credit ${report.total.credit.toFixed(3)}</h2>
${renderPlot('Requests by outcome, in windows of 2 s of the sending time', buildOutcomeSeries(report.windows))}
${renderPlot('Accepted pieces that wait for a call, by stage service', buildQueueSeries(report))}
</section>`)
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>lycheetrack experiment</title>
<style>body{font:14px sans-serif;margin:24px}text{font:11px sans-serif}h3{font-weight:normal;margin:8px 0}</style></head>
<body>
${sections.join('\n')}
</body>
</html>
`
}

function buildOutcomeSeries (windows: readonly KindSummary[]): readonly Series[] {
  const buildSeries = (name: string, count: (window: KindSummary) => number): Series =>
    ({ name, points: windows.map(window => [parseFloat(window.name), count(window)] as const) })
  return [
    buildSeries('on time', window => window.onTime),
    buildSeries('late', window => window.late),
    buildSeries('refused', window => window.refused),
    buildSeries('failed', window => window.failed)
  ]
}

function buildQueueSeries ({ services, queues }: ExperimentReport): readonly Series[] {
  return services.map(({ name }) => ({
    name,
    points: queues.filter(sample => sample.service === name).map(sample => [sample.atMs / 1000, sample.queuedPieces] as const)
  }))
}

function renderPlot (title: string, series: readonly Series[]): string {
  const points = series.flatMap(({ points }) => points)
  const maxX = Math.max(...points.map(([x]) => x), 1)
  const maxY = Math.max(...points.map(([, y]) => y), 1)
  const computeX = (x: number): number => margin + x / maxX * (width - 2 * margin)
  const computeY = (y: number): number => height - margin - y / maxY * (height - 2 * margin)
  const lines = series.map(({ name, points }, i) => {
    const colour = colours[i % colours.length]
    const path = points.map(([x, y]) => `${computeX(x).toFixed(1)},${computeY(y).toFixed(1)}`).join(' ')
    return `<polyline fill="none" stroke="${colour}" points="${path}"/>
<text x="${margin + i * 110}" y="14" fill="${colour}">${name}</text>`
  })
  return `<h3>${title}</h3>
<svg width="${width}" height="${height}" role="img" aria-label="${title}">
<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="#999"/>
<text x="4" y="${margin + 4}">${maxY}</text><text x="${margin - 10}" y="${height - margin}">0</text>
<text x="${width - margin - 20}" y="${height - margin + 16}">${maxX.toFixed(0)} s</text>
${lines.join('\n')}
</svg>`
}
