import type { EnginePrompt } from '../engines/enginePrompt.js'
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
  /** Time by which the stages must be done for the request to be on time. */
  readonly targetAtMs: number
  /** Time by which the stages must be done for the request to be answered at all. */
  readonly deadlineAtMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Failure domain in which the engine is wanted; empty when any will do. */
  readonly preferredDomain: string
  /** Service of the engine that takes the results; undefined when no engine is chosen with the stages. */
  readonly engineService?: string
  readonly prompt: EnginePrompt
}
