import type { Arrival } from './arrival.js'
import type { SlowInterval } from './slowInterval.js'

/** Everything that happens from outside; the same for all policies. */
export interface Trace {
  readonly arrivals: readonly Arrival[]
  /** Slowdowns of the runners. */
  readonly slowIntervals: readonly SlowInterval[]
}
