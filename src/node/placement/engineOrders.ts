import type { PlacementOrder } from './placementOrder.js'
import type { RunnerPlacement } from './runnerPlacement.js'

/** Orders to model runners, and what the runners hold. */
export interface EngineOrders {
  listRunners (): readonly RunnerPlacement[]
  /** Rejects with a `LycheetrackError` when the runner refused the order or did not answer. */
  send (order: PlacementOrder, fencing: number): Promise<void>
}
