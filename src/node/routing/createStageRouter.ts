import type { RoutingCore } from '../../types/routingCore.js'
import type { RoutingOptions } from '../../types/routingOptions.js'
import { StageRouterCore } from './stageRouterCore.js'

/**
 * Creates the routing core of one host: upstream choice, slow-upstream detection and the budget for
 * retries and hedges. Pure: time, randomness and observations are arguments.
 *
 * `route` answers undefined when the pool has no live upstream, for long work while long work fills its
 * share of the slots, and for long work that can no longer meet its deadline. The caller keeps the work
 * until its deadline and asks again after the end of an attempt or some tens of milliseconds. It must
 * ask once as soon as the work is ready, because admission counts the work that waits. `admitHedge` answers false while the running attempt makes usual
 * progress; it may be asked again while the attempt lasts.
 */
export function createStageRouter (options: RoutingOptions): RoutingCore {
  return new StageRouterCore(options)
}
