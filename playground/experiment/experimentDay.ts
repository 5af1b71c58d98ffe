import type { LoadBurst } from './loadBurst.js'
import type { TrafficSource } from './trafficSource.js'
import type { UpstreamTrouble } from './upstreamTrouble.js'

/** One day of load and trouble. */
export interface ExperimentDay {
  readonly name: string
  readonly lengthMs: number
  readonly traffic: readonly TrafficSource[]
  readonly bursts: readonly LoadBurst[]
  readonly troubles: readonly UpstreamTrouble[]
  /** Kinds of trouble in the source that the experiment does not play. */
  readonly notPlayed: readonly string[]
}
