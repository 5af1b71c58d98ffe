import type { Clock } from '../../types/clock.js'
import type { ContractView } from '../../types/contractView.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'

/** Options of `createBurnReporter`. */
export interface BurnReporterOptions {
  readonly contracts: ContractView
  readonly membership: MembershipView
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly logger: Logger
  /**
   * Timeout of the call to a peer.
   * @default 2000
   */
  readonly peerTimeoutMs?: number
}
