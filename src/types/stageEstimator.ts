import type { StageOperation } from './stageOperation.js'

/** Predicts how long a stage takes if it is sent now; admission checks deadlines against the prediction. */
export interface StageEstimator {
  /** `serviceMs` is the processing time, `waitMs` the time in queues; `cost` has the unit of `StageWork.cost`. */
  computeStageMs (pool: string, operation: StageOperation, model: string | undefined, cost: number, nowMs: number): { readonly serviceMs: number, readonly waitMs: number }
}
