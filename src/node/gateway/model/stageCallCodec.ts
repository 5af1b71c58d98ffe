import type { StagePiece } from './stagePiece.js'
import type { StagePieceResult } from './stagePieceResult.js'

/** Wire format of the calls to stage services. */
export interface StageCallCodec {
  readonly runPath: string
  readonly releasePath: string
  /** Headers of a call to the upstream with this id, as alternating names and values. */
  encodeHeaders (upstreamId: string): string[]
  encodePieces (pieces: readonly StagePiece[]): string
  encodeRelease (handles: readonly string[]): string
  /** Results in the order of the pieces; undefined when the body cannot be decoded. */
  decodeResults (body: string, count: number): readonly StagePieceResult[] | undefined
}
