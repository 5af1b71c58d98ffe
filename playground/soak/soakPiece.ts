/** One piece of a stage that an upstream was asked for. */
export interface SoakPiece {
  readonly requestId: string
  readonly stage: number
  readonly piece: number
  readonly key?: string
  /** Results that the piece was given; each names the request, the stage and the piece that made it. */
  readonly inputs?: readonly string[]
}
