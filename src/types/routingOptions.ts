import type { Random } from './random.js'

/** Options of the routing core. */
export interface RoutingOptions {
  readonly random: Random
  /**
   * Wall clock minus the clock of `nowMs`, in milliseconds; converts the times in load reports.
   * @default 0
   */
  readonly wallOffsetMs?: number
  /**
   * Returns the number of live entry hosts that share the upstreams, including this one.
   * @default () => 1
   */
  readonly countHosts?: () => number
}
