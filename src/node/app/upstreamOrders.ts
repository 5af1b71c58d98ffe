import type { EngineOrders } from '../placement/engineOrders.js'
import type { PlacementOrder } from '../placement/placementOrder.js'
import type { RunnerPlacement } from '../placement/runnerPlacement.js'
import { placementConstants } from '../placement/constants.js'
import type { UpstreamSet } from '../upstreams/upstreamSet.js'

/** Orders to the model runners that this host is connected to. */
export class UpstreamOrders implements EngineOrders {
  constructor (private readonly upstreams: UpstreamSet) {}

  /** A runner is not filled beyond the models that it holds, because engines do not publish how many fit. */
  listRunners (): readonly RunnerPlacement[] {
    return this.upstreams.listRunners().map(runner => ({ ...runner, maxModels: Math.max(1, runner.models.length) }))
  }

  async send (order: PlacementOrder, fencing: number): Promise<void> {
    const signal = AbortSignal.timeout(placementConstants.CALL_TIMEOUT_MS)
    await this.upstreams.findEngine(order.upstreamId)?.sendOrder(order.order, order.model, fencing, signal)
  }
}
