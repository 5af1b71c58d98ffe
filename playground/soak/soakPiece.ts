/** One piece of a stage that a host requested from an upstream. */
export interface SoakPiece {
  readonly requestId: string
  readonly stage: number
  readonly piece: number
  readonly key?: string
  /** Handles of the results that the piece was given; each names the request, stage and piece that produced it. */
  readonly inputs?: readonly string[]
}
