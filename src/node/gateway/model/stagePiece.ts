/** One work item of a stage, as it is sent in a stage call. */
export interface StagePiece {
  readonly requestId: string
  readonly stageIndex: number
  /** Position within the stage, from 0. */
  readonly pieceIndex: number
  readonly timeLeftMs: number
  /** Key of the request's input; set for stages that take no results of other stages. */
  readonly pieceKey?: string
  /** Handles of the results that the piece takes as inputs. */
  readonly inputs?: readonly string[]
}
