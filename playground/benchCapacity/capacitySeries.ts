import type { CapacityPoint } from './capacityPoint.js'

/** Measurements of one quantity of one component at several sizes. */
export interface CapacitySeries {
  /** Measured component, e.g. `membership`. */
  readonly part: string
  /** Measured quantity, e.g. `memory per host`. */
  readonly figure: string
  /** Unit of the quantity, e.g. `KB` or `us`. */
  readonly unit: string
  /** What `size` counts, e.g. `accounts`. */
  readonly sizeName: string
  /** Size for which the quantity is computed from the measurements, in most series the size that the design must support. */
  readonly targetSize: number
  readonly points: readonly CapacityPoint[]
}
