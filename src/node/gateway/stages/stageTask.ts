import type { JobState } from './jobState.js'
import type { StageWork } from './stageWork.js'

/** One stage of one job in the scheduler. Mutable; owned by the scheduler. */
export class StageTask {
  isReady = false
  /** Pieces that are not in a call and have no result. */
  pendingPieces: number[]
  piecesInFlight = 0
  /** Time at which the inputs were there. */
  readyAtMs = 0
  /** Time that this stage and the longest chain after it need when nothing waits. */
  remainingMs = 0
  readonly handles: Array<string | undefined>
  /** Upstream that holds the result of each piece. */
  readonly resultUpstreamIds: Array<string | undefined>
  /** Failure domain of each maker. */
  readonly resultDomains: Array<string | undefined>

  constructor (readonly jobState: JobState, readonly work: StageWork) {
    this.pendingPieces = Array.from({ length: work.pieceCount }, (_, i) => i)
    this.handles = new Array(work.pieceCount)
    this.resultUpstreamIds = new Array(work.pieceCount)
    this.resultDomains = new Array(work.pieceCount)
  }

  /** Time at which the last piece was sent; undefined while pieces wait. */
  sentAtMs: number | undefined
  /** The results were released. */
  isReleased = false

  /** Whether the upstreams have fetched the inputs of all pieces. */
  hasFetchedInputs (nowMs: number, fetchMs: number): boolean {
    return this.pendingPieces.length === 0 && (this.piecesInFlight === 0 || (this.sentAtMs !== undefined && nowMs - this.sentAtMs >= fetchMs))
  }

  isDone (): boolean {
    return this.pendingPieces.length === 0 && this.piecesInFlight === 0
  }
}
