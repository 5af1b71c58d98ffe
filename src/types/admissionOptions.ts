import type { AccountLimiter } from './accountLimiter.js'
import type { ContractView } from './contractView.js'
import type { StageEstimator } from './stageEstimator.js'

/** Dependencies of the admission controller. */
export interface AdmissionOptions {
  readonly limiter: AccountLimiter
  /** The routing core of the host. */
  readonly estimator: StageEstimator
  readonly contracts: Pick<ContractView, 'find'>
}
