import { systemClock } from '../../shared/systemClock.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { Clock } from '../../types/clock.js'
import type { ContractView } from '../../types/contractView.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { LimitDriver } from './limitDriver.js'

interface AccountLimiterOptions {
  readonly contracts: ContractView
  /** `listHostListIds` returns the ids of the live entry hosts in the platform's host list. */
  readonly membership: MembershipView & { listHostListIds (): readonly string[] }
  readonly transport: PeerTransport
  readonly metrics: Metrics
  /** @default systemClock */
  readonly clock?: Clock
  /** @default systemScheduler */
  readonly scheduler?: Scheduler
  /** @default Math.random */
  readonly random?: Random
}

/** Creates the limiter of accounts across all hosts. Times passed to `take` must come from the monotonic clock of `clock`. */
export function createAccountLimiter (options: AccountLimiterOptions): LimitDriver {
  return new LimitDriver({
    ...options,
    clock: options.clock ?? systemClock,
    scheduler: options.scheduler ?? systemScheduler,
    random: options.random ?? Math.random
  })
}
