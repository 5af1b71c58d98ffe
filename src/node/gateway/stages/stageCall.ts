import type { StagePiece } from '../model/stagePiece.js'
import type { StagePieceRef } from './stagePieceRef.js'

/** A call that the scheduler wants to be made. */
export interface StageCall {
  readonly id: number
  readonly service: string
  readonly upstreamId: string
  readonly pieces: readonly StagePiece[]
  readonly pieceRefs: readonly StagePieceRef[]
  readonly sentAtMs: number
  readonly expectedMs: number
  readonly timeoutMs: number
}
