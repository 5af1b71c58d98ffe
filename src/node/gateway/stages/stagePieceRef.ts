import type { StageTask } from './stageTask.js'

/** A piece within the scheduler's own state. */
export interface StagePieceRef {
  readonly task: StageTask
  readonly pieceIndex: number
}
