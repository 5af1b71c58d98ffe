import { computeSpread } from '../benchProcess/computeSpread.js'
import type { CapacitySeries } from './capacitySeries.js'

type SeriesHeader = Omit<CapacitySeries, 'points'>

/** Builds a series from the values of each size. */
export function createSeries (header: SeriesHeader, values: ReadonlyArray<readonly [size: number, values: readonly number[]]>): CapacitySeries {
  return { ...header, points: values.map(([size, list]) => ({ size, spread: computeSpread(list) })) }
}
