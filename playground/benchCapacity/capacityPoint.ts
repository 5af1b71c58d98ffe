import type { Spread } from '../benchProcess/spread.js'

/** One measured size of a series. `spread` covers the repeated runs; figures that do not vary are measured once. */
export interface CapacityPoint {
  readonly size: number
  readonly spread: Spread
}
