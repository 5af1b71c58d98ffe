import { burnConstants } from './constants.js'
import { encodeHtml } from './encodeHtml.js'
import type { BurnReportEntry } from './burnReportEntry.js'

const size = { width: 360, height: 110, left: 40, right: 6, top: 8, bottom: 18 }
const { bucketMs, buckets } = burnConstants.rings[burnConstants.plotRingIndex]

/** Renders an SVG bar chart of total and missed requests per 5-minute bucket over the last hour up to `nowMs`. */
export function renderBurnPlot (entry: BurnReportEntry, nowMs: number): string {
  const highest = Math.max(1, ...entry.points.map(point => point.total))
  const lastBucket = Math.floor(nowMs / bucketMs)
  const plotWidth = size.width - size.left - size.right
  const plotHeight = size.height - size.top - size.bottom
  const step = plotWidth / buckets
  const base = size.top + plotHeight
  const bars = entry.points.map(point => {
    const position = buckets - 1 - (lastBucket - Math.floor(point.atMs / bucketMs))
    if (position < 0 || position >= buckets) return ''
    const x = size.left + position * step + 1
    const title = `${formatTime(point.atMs)}: ${point.total} requests, ${point.missed} missed`
    return `<g><title>${title}</title>${renderBar('total', x, point.total)}${renderBar('missed', x, point.missed)}</g>`
  })
  const label = encodeHtml(`Requests of ${entry.account} ${entry.kind} in the last hour, ${entry.windows['1h'].missed} of ${entry.windows['1h'].total} missed`)
  return `<svg viewBox="0 0 ${size.width} ${size.height}" role="img" aria-label="${label}">` +
    `<line class="axis" x1="${size.left}" y1="${base}" x2="${size.width - size.right}" y2="${base}"/>` +
    `<text x="${size.left - 5}" y="${size.top + 8}" text-anchor="end">${highest}</text>` +
    `<text x="${size.left - 5}" y="${base}" text-anchor="end">0</text>` +
    bars.join('') +
    `<text x="${size.left}" y="${size.height - 4}">${formatTime((lastBucket - buckets + 1) * bucketMs)}</text>` +
    `<text x="${size.width - size.right}" y="${size.height - 4}" text-anchor="end">${formatTime(nowMs)} UTC</text>` +
    '</svg>'

  function renderBar (name: string, x: number, count: number): string {
    const height = count / highest * plotHeight
    return `<rect class="${name}" x="${x.toFixed(1)}" y="${(base - height).toFixed(1)}" width="${(step - 2).toFixed(1)}" height="${height.toFixed(1)}"/>`
  }
}

function formatTime (ms: number): string {
  return new Date(ms).toISOString().slice(11, 16)
}
