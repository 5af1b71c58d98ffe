import { computeSpread } from '../benchProcess/computeSpread.js'
import type { CapacitySeries } from './capacitySeries.js'

type Head = Omit<CapacitySeries, 'points'>

/** Builds a series from the values of each size. */
export function createSeries (head: Head, values: ReadonlyArray<readonly [size: number, values: readonly number[]]>): CapacitySeries {
  return { ...head, points: values.map(([size, list]) => ({ size, spread: computeSpread(list) })) }
}
