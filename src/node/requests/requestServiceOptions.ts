import type { AdmissionController } from '../../types/admissionController.js'
import type { ClaimService } from '../../types/claimService.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { RequestSample } from '../../types/requestSample.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { UpstreamLookup } from '../upstreams/upstreamLookup.js'

/** Dependencies and settings of a request service. */
export interface RequestServiceOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly router: StageRouter
  readonly admission: AdmissionController
  readonly membership: MembershipView
  readonly transport: PeerTransport
  readonly claims: ClaimService
  readonly upstreams: UpstreamLookup
  /**
   * Waits up to `limitMs` for this host's share of the account's limit before admission, so that the first request of
   * an account on this host is not refused only because no share has arrived yet.
   */
  readonly waitForCredit?: (account: string, limitMs: number) => Promise<void>
  /** Called for each finished or refused request. */
  readonly onSample?: (sample: RequestSample) => void
  /** @default 60000 */
  readonly finishedRetentionMs?: number
  /** @default 50331648 */
  readonly finishedRetentionBytes?: number
  /** @default 500 */
  readonly abandonGraceMs?: number
}
