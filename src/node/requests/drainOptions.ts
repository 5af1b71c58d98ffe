import type { HostRecord } from '../../types/hostRecord.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { RequestService } from './requestService.js'

/** What a planned stop needs. */
export interface DrainOptions {
  readonly requests: RequestService
  readonly membership: MembershipView
  readonly logger: Logger
  /** Tells the peers that this host is leaving, so that it is left out of route answers. */
  readonly reportLeaving: () => void
  /** Chooses the hosts that refusals name. */
  readonly chooseRouteHosts: (hosts: readonly HostRecord[]) => readonly HostRecord[]
  /** Closes the caller API; resolves when the last answer has left. */
  readonly closeServer?: () => Promise<void>
  /** @default 5000 */
  readonly routeLifetimeMs?: number
  /** Time beyond the route lifetime in which new requests are accepted. @default 1000 */
  readonly leavingMarginMs?: number
  /** Resolves after a time in milliseconds. @default a timer */
  readonly wait?: (ms: number) => Promise<void>
}
