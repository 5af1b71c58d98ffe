import type { CapacityPoint } from './capacityPoint.js'

/** A figure of one part measured at several sizes. */
export interface CapacitySeries {
  readonly part: string
  readonly figure: string
  /** Unit of the figure, e.g. `KB` or `us`. */
  readonly unit: string
  /** What `size` counts, e.g. `accounts`. */
  readonly sizeName: string
  readonly targetSize: number
  readonly points: readonly CapacityPoint[]
}
