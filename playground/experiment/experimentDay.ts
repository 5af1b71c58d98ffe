import type { LoadBurst } from './loadBurst.js'
import type { TrafficSource } from './trafficSource.js'
import type { UpstreamTrouble } from './upstreamTrouble.js'

/** The load and the faults of one simulated run, which site files call a day. */
export interface ExperimentDay {
  readonly name: string
  readonly lengthMs: number
  readonly traffic: readonly TrafficSource[]
  readonly bursts: readonly LoadBurst[]
  readonly troubles: readonly UpstreamTrouble[]
  /** Kinds of event in the site file that the experiment does not simulate. */
  readonly notPlayed: readonly string[]
}
