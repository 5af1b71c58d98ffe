import type { Clock } from '../../types/clock.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { AttemptStarter } from './attemptStarter.js'
import type { LatencyModel } from './latencyModel.js'
import type { TokenModel } from './tokenModel.js'

/** Components of a host that all pipeline runs share. */
export interface PipelineDependencies {
  /** Part of every call id that is unique across hosts and restarts. */
  readonly callIdScope: string
  readonly router: StageRouter
  readonly clock: Clock
  readonly attempts: AttemptStarter
  readonly latencies: LatencyModel
  readonly tokens: TokenModel
}
