/** The result of a piece as the scheduler keeps it. */
export interface StageResult {
  readonly pieceIndex: number
  readonly handle: string
  /** Upstream that holds it. */
  readonly upstreamId: string
  readonly failureDomain: string | undefined
  /** Time at which it arrived. */
  readonly madeAtMs: number
}
