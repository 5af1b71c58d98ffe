import type { Clock } from '../../types/clock.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { AttemptStarter } from './attemptStarter.js'
import type { LatencyModel } from './latencyModel.js'
import type { TokenModel } from './tokenModel.js'

/** The parts of a host that all pipeline runs share. */
export interface PipelineDependencies {
  /** Unique among all hosts and their restarts; part of every call id. */
  readonly callIdScope: string
  readonly router: StageRouter
  readonly clock: Clock
  readonly attempts: AttemptStarter
  readonly latencies: LatencyModel
  readonly tokens: TokenModel
}
