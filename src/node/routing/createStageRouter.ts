import type { RoutingCore } from '../../types/routingCore.js'
import type { RoutingOptions } from '../../types/routingOptions.js'
import { StageRouterCore } from './stageRouterCore.js'

/**
 * Creates the routing core of one host: choice of upstreams, detection of slow upstreams, and the budget
 * for retries and hedges. It performs no I/O; time, randomness and observations are passed in.
 *
 * `route` returns undefined when the pool has no live upstream, when long work already fills its share of
 * the slots, and when long work can no longer meet its deadline. The caller then holds the work until its
 * deadline and calls `route` again after the end of an attempt or after some tens of milliseconds. It must
 * call `route` as soon as the work is ready, because admission counts deferred work. `admitHedge` returns
 * false while the running attempt progresses at the usual speed, and may be called again during the attempt.
 */
export function createStageRouter (options: RoutingOptions): RoutingCore {
  return new StageRouterCore(options)
}
