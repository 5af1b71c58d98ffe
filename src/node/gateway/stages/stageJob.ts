import type { EnginePrompt } from '../engines/enginePrompt.js'
import type { StageWork } from './stageWork.js'

/** The stages of one request. Times are on the monotonic clock of the scheduling host. */
export interface StageJob {
  /** Unique over all hosts and attempts. */
  readonly id: string
  readonly requestId: string
  /** Key of the request's input, for stages that take no results of other stages. */
  readonly pieceKey: string
  /** Name of the route; durations of pieces are estimated by route and stage. */
  readonly route: string
  /** Stages with at least one piece. */
  readonly stages: readonly StageWork[]
  /** Time by which the stages must be done for the request to meet its latency target. */
  readonly targetAtMs: number
  /** Time by which the stages must be done for the request to be answered at all. */
  readonly deadlineAtMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Failure domain preferred for the engine; empty for no preference. */
  readonly preferredDomain: string
  /** Service of the engine that takes the results; undefined when the engine is not chosen together with the stages. */
  readonly engineService?: string
  readonly prompt: EnginePrompt
  /** The job is declined instead of being accepted as late or refused, because it will be tried in another cell. */
  readonly isDeclinable: boolean
}
