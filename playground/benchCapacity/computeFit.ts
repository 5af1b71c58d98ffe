import { computeRegressionLine } from '../benchProcess/computeRegressionLine.js'
import type { CapacityFit } from './capacityFit.js'
import type { CapacitySeries } from './capacitySeries.js'

/** Fits a line through the medians of a series by least squares. */
export function computeFit (series: CapacitySeries): CapacityFit {
  const points = series.points.map(({ size, spread }) => ({ x: size, y: spread.median }))
  const { slope, intercept } = computeRegressionLine(points)
  const squares = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0)
  const mean = points.reduce((sum, { y }) => sum + y, 0) / points.length
  return {
    slope,
    intercept,
    relativeError: mean === 0 ? 0 : Math.sqrt(squares / points.length) / Math.abs(mean),
    atTarget: intercept + slope * series.targetSize,
    isMeasured: series.points.some(point => point.size === series.targetSize)
  }
}
