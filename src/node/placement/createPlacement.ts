import { systemScheduler } from '../../shared/systemScheduler.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import type { EngineOrders } from './engineOrders.js'
import { PlacementDriver } from './placementDriver.js'

interface PlacementOptions {
  readonly keyValue: KeyValueService
  readonly orders: EngineOrders
  readonly membership: MembershipView
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** @default systemScheduler */
  readonly scheduler?: Scheduler
}

/** Creates the placement of models on runners and registers its handler with the transport. */
export function createPlacement (options: PlacementOptions): PlacementDriver {
  return new PlacementDriver({ ...options, scheduler: options.scheduler ?? systemScheduler })
}
