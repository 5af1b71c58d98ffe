import type { PipelineStage } from '../model/pipelineStage.js'

/** A stage of a request with its number of pieces. */
export interface StageWork extends PipelineStage {
  readonly pieceCount: number
}
