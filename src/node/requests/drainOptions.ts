import type { HostRecord } from '../../types/hostRecord.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { RequestService } from './requestService.js'

/** Dependencies and settings of a graceful shutdown. */
export interface DrainOptions {
  readonly requests: RequestService
  readonly membership: MembershipView
  readonly logger: Logger
  /** Announces to the other hosts that this host is leaving, so that route answers exclude it. */
  readonly reportLeaving: () => void
  /** Chooses the hosts whose addresses are included in refusals. */
  readonly chooseRouteHosts: (hosts: readonly HostRecord[]) => readonly HostRecord[]
  /** Closes the caller API; resolves when the last response has been sent. */
  readonly closeServer?: () => Promise<void>
  /** @default 5000 */
  readonly routeLifetimeMs?: number
  /** Time beyond the route lifetime during which new requests are still accepted. @default 1000 */
  readonly leavingMarginMs?: number
  /** Resolves after `ms` milliseconds. @default setTimeout */
  readonly wait?: (ms: number) => Promise<void>
}
