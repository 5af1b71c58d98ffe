import { randomUUID } from 'node:crypto'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { EngineOrders } from './engineOrders.js'
import { PlacementController } from './placementController.js'
import { PlacementLease } from './placementLease.js'

interface PlacementControllerOptions {
  readonly hostId: string
  readonly keyValue: KeyValueService
  readonly clock: Clock
  readonly logger: Logger
  readonly orders: EngineOrders
  readonly readDemand: () => Promise<ReadonlyMap<string, number>>
  /** @default crypto.randomUUID */
  readonly createToken?: () => string
}

/** Creates the placement controller of one host, including its lease. */
export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const lease = new PlacementLease(options.hostId, options.keyValue, options.clock, options.createToken ?? randomUUID)
  return new PlacementController({ ...options, lease })
}
