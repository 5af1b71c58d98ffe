import type { StagePiece } from '../model/stagePiece.js'
import type { StagePieceRef } from './stagePieceRef.js'

/** A call that the scheduler has planned. */
export interface StageCall {
  readonly id: number
  readonly service: string
  readonly upstreamId: string
  readonly pieces: readonly StagePiece[]
  /** Tasks of `pieces`, in the same order. */
  readonly pieceRefs: readonly StagePieceRef[]
  readonly sentAtMs: number
  readonly expectedMs: number
  readonly timeoutMs: number
}
