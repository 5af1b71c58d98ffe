import type { Random } from './random.js'

/** Options of the routing core. */
export interface RoutingOptions {
  readonly random: Random
  /**
   * Wall time minus the clock of `nowMs`, in milliseconds; converts the times in load reports.
   * @default 0
   */
  readonly wallOffsetMs?: number
  /**
   * Number of live entry hosts that share the upstreams, this one included.
   * @default () => 1
   */
  readonly countHosts?: () => number
}
