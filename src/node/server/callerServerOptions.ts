import type { AdminHandler } from '../../types/adminHandler.js'
import type { Contract } from '../../types/contract.js'
import type { ContractView } from '../../types/contractView.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { RequestService } from '../requests/requestService.js'

/** Dependencies and limits of the HTTP server of a host. */
export interface CallerServerOptions {
  readonly contracts: ContractView
  readonly membership: MembershipView
  readonly requests: RequestService
  readonly admin: AdminHandler
  readonly metrics: Metrics
  readonly logger: Logger
  /** Bearer token of the administration API; with an empty token, every call is refused. */
  readonly operatorToken: string
  /** Reasons why the host is not ready; empty when it is. */
  readonly listUnreadyReasons: () => readonly string[]
  /** Chooses the hosts that a route response names to the callers of a contract. */
  readonly chooseRouteHosts: (hosts: readonly HostRecord[], contract: Contract) => readonly HostRecord[]
  /** @default 5000 */
  readonly routeLifetimeMs?: number
  /** @default 10000 */
  readonly bodyTimeoutMs?: number
  /** @default 1048576 */
  readonly maxBodyBytes?: number
  /** Most connections of callers. @default Infinity */
  readonly maxConnections?: number
  /** Time after which a connection is closed whose caller takes nothing of a pending answer. @default 60000 */
  readonly unreadTimeoutMs?: number
}
