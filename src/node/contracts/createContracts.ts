import { systemClock } from '../../shared/systemClock.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { ContractPropagation } from './contractPropagation.js'

interface ContractOptions {
  readonly service: KeyValueService
  readonly transport: PeerTransport
  readonly membership: MembershipView
  readonly logger: Logger
  readonly metrics: Metrics
  /** @default systemClock */
  readonly clock?: Clock
  /** @default systemScheduler */
  readonly scheduler?: Scheduler
  /** @default Math.random */
  readonly random?: Random
}

/** Creates the contract propagation of this host and registers its handlers on the transport. Call `start` after membership has started. */
export function createContracts (options: ContractOptions): ContractPropagation {
  return new ContractPropagation({
    ...options,
    clock: options.clock ?? systemClock,
    scheduler: options.scheduler ?? systemScheduler,
    random: options.random ?? Math.random
  })
}
