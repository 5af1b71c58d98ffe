import type { Spread } from '../benchProcess/spread.js'

/** One measured size of a series; `spread` covers the repeated runs, and is one value where a run is exact. */
export interface CapacityPoint {
  readonly size: number
  readonly spread: Spread
}
