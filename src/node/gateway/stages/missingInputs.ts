/** What a stage of a request lacks whose pieces were queued. */
export interface MissingInputs {
  readonly requestId: string
  readonly service: string
  readonly stageIndex: number
  /** Number of inputs that its pieces take. */
  readonly inputs: number
  /** Number of these that have no result. */
  readonly missing: number
  /** Pieces of the input stages that wait for a call. */
  readonly waiting: number
  /** Pieces of the input stages that are in a call. */
  readonly inFlight: number
  /** Number of input stages whose results are released. */
  readonly releasedStages: number
}
