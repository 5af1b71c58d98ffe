import type { StageTask } from './stageTask.js'

/** A piece of a task in the scheduler's state. */
export interface StagePieceRef {
  readonly task: StageTask
  readonly pieceIndex: number
}
