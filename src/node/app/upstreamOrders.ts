import type { EngineOrders } from '../placement/engineOrders.js'
import type { PlacementOrder } from '../placement/placementOrder.js'
import type { RunnerPlacement } from '../placement/runnerPlacement.js'
import { placementConstants } from '../placement/constants.js'
import type { UpstreamSet } from '../upstreams/upstreamSet.js'

/** Lists the model runners that this host is connected to and sends them placement orders. */
export class UpstreamOrders implements EngineOrders {
  constructor (private readonly upstreams: UpstreamSet) {}

  /** The capacity of a runner is the number of models that it has loaded now, because engines do not publish how many fit. */
  listRunners (): readonly RunnerPlacement[] {
    return this.upstreams.listRunners().map(runner => ({ ...runner, maxModels: Math.max(1, runner.models.length) }))
  }

  async send (order: PlacementOrder, fencing: number): Promise<void> {
    const signal = AbortSignal.timeout(placementConstants.CALL_TIMEOUT_MS)
    await this.upstreams.findEngine(order.upstreamId)?.sendOrder(order.order, order.model, fencing, signal)
  }
}
