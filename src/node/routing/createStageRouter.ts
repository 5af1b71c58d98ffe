import type { RoutingCore } from '../../types/routingCore.js'
import type { RoutingOptions } from '../../types/routingOptions.js'
import { StageRouterCore } from './stageRouterCore.js'

/**
 * Creates the routing core of one host: upstream choice, slow-upstream detection and the budget for
 * retries and hedges. Pure: time, randomness and observations are arguments.
 *
 * `route` answers undefined when the pool has no live upstream, and for long work while long work
 * fills its share of the slots; the caller keeps the work and asks again after the end of an attempt
 * or some tens of milliseconds. `admitHedge` answers false while the running attempt makes usual
 * progress; it may be asked again while the attempt lasts.
 */
export function createStageRouter (options: RoutingOptions): RoutingCore {
  return new StageRouterCore(options)
}
