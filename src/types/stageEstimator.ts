import type { StageOperation } from './stageOperation.js'

/** Predicts how long a stage takes if it is sent now; admission computes deadlines from it. */
export interface StageEstimator {
  /** `serviceMs` is the time of the work itself, `waitMs` the time in queues; `cost` as in `StageWork`. */
  computeStageMs (pool: string, operation: StageOperation, model: string | undefined, cost: number, nowMs: number): { readonly serviceMs: number, readonly waitMs: number }
}
