import type { AccountLimiter } from './accountLimiter.js'
import type { ContractView } from './contractView.js'
import type { StageEstimator } from './stageEstimator.js'

/** What the admission controller decides from. */
export interface AdmissionOptions {
  readonly limiter: AccountLimiter
  /** The routing core of the host. */
  readonly estimator: StageEstimator
  readonly contracts: Pick<ContractView, 'find'>
}
