import type { Random } from './random.js'
import type { Upstream } from './upstream.js'

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
  /** Called when an upstream that broke the protocol several times in a row is paused. */
  readonly onPaused?: (upstream: Upstream, pauseMs: number) => void
}
