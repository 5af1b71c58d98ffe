import type { Arrival } from './arrival.js'
import type { SlowInterval } from './slowInterval.js'

/** The external input of a run, which is the same for all policies. */
export interface Trace {
  readonly arrivals: readonly Arrival[]
  /** Slowdowns of the runners. */
  readonly slowIntervals: readonly SlowInterval[]
}
