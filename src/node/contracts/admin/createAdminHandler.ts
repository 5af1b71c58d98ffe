import { systemScheduler } from '../../../shared/systemScheduler.js'
import type { AdminHandler } from '../../../types/adminHandler.js'
import type { Logger } from '../../../types/logger.js'
import type { MembershipView } from '../../../types/membershipView.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { ContractPropagation } from '../contractPropagation.js'
import { ContractAdminHandler } from './contractAdminHandler.js'

interface AdminOptions {
  readonly contracts: ContractPropagation
  readonly membership: MembershipView
  readonly logger: Logger
  /** Starts draining this host; resolves to the state to report. */
  readonly startDrain: () => Promise<unknown>
  /** Returns the burn report as a JSON value. */
  readonly readBurn: (query: Readonly<Record<string, string>>) => Promise<unknown>
  /** @default systemScheduler */
  readonly scheduler?: Scheduler
}

/** Creates the request handler of the administration API. */
export function createAdminHandler (options: AdminOptions): AdminHandler {
  return new ContractAdminHandler({ ...options, scheduler: options.scheduler ?? systemScheduler })
}
