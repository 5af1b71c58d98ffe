import { renderTable } from '../benchProcess/renderTable.js'
import type { CapacitySeries } from './capacitySeries.js'
import { computeFit } from './computeFit.js'

/** Renders one row for each series: the medians by size, the fitted line and its value at the target size. */
export function renderSeries (list: readonly CapacitySeries[]): string {
  const rows = list.map(series => {
    const fit = computeFit(series)
    const points = series.points.map(({ size, spread }) => `${formatNumber(size)}: ${formatSpread(spread)}`)
    return [
      `${series.part}: ${series.figure} (${series.unit})`,
      series.sizeName,
      points.join('  '),
      formatNumber(fit.slope),
      formatNumber(fit.intercept),
      `${(fit.relativeError * 100).toFixed(1)}%`,
      `${formatNumber(series.targetSize)}: ${formatNumber(fit.atTarget)}${fit.isMeasured ? '' : ' (extrapolated)'}`
    ]
  })
  return renderTable([['figure', 'size', 'medians [minimum-maximum]', 'slope', 'intercept', 'error', 'line at target'], ...rows])
}

function formatSpread ({ min, median, max }: CapacitySeries['points'][number]['spread']): string {
  return min === max ? formatNumber(median) : `${formatNumber(median)} [${formatNumber(min)}-${formatNumber(max)}]`
}

function formatNumber (value: number): string {
  return (Math.abs(value) >= 1000 ? Math.round(value) : Number(value.toPrecision(3))).toString()
}
