/** One piece of work of a stage in a call. */
export interface StagePiece {
  readonly requestId: string
  readonly stageIndex: number
  /** Position within the stage, from 0. */
  readonly pieceIndex: number
  readonly timeLeftMs: number
  /** Key of the request's input; for stages that take no results. */
  readonly pieceKey?: string
  /** Handles of the results that the piece takes. */
  readonly inputs?: readonly string[]
}
