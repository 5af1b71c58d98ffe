import type { StageWork } from './stageWork.js'

/** The stages of one request. Times are on the monotonic clock of the scheduling host. */
export interface StageJob {
  /** Unique over all hosts and attempts. */
  readonly id: string
  readonly requestId: string
  readonly pieceKey: string
  /** Names the kind of request, for measurements of its pieces. */
  readonly route: string
  /** Stages with at least one piece. */
  readonly stages: readonly StageWork[]
  /** Time by which the first event is on time. */
  readonly aimAtMs: number
  readonly deadlineAtMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Credit of the request when it is on time. */
  readonly worth: number
  /** Failure domain in which the engine is wanted; empty when any will do. */
  readonly preferredDomain: string
}
