import type { ClaimService } from '../../types/claimService.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { DirectoryClient } from './directoryClient.js'
import type { PipelineDependencies } from './pipelineDependencies.js'
import type { AnswerRelay } from './answerRelay.js'

/** Dependencies of a request executor. */
export interface RequestExecutorOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly membership: MembershipView
  readonly claims: ClaimService
  readonly directory: DirectoryClient
  readonly relay: AnswerRelay
  readonly pipeline: PipelineDependencies
}
