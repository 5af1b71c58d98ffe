import type { PlacementOrder } from './placementOrder.js'
import type { RunnerPlacement } from './runnerPlacement.js'

/** Sends orders to model runners and lists the models that they have loaded. */
export interface EngineOrders {
  listRunners (): readonly RunnerPlacement[]
  /** Rejects with a `LycheetrackError` when the runner refuses the order or does not respond. */
  send (order: PlacementOrder, fencing: number): Promise<void>
}
