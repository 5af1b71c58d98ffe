import { z } from 'zod'
import type { StageCallCodec } from '../gateway/model/stageCallCodec.js'
import type { StagePiece } from '../gateway/model/stagePiece.js'
import type { StagePieceResult } from '../gateway/model/stagePieceResult.js'
import { headerNames } from './headerNames.js'

/** Failures by the reason that an upstream states for a piece without a result; any other reason counts as `error`. */
const failuresByReason = { late: 'late', gone: 'input-gone', room: 'no-room', error: 'error' } as const
const responseSchema = z.object({ items: z.array(z.object({ handle: z.string().min(1).optional(), reason: z.string().optional() })) })

/** Wire format of calls to stage services on the platform. */
export const stageCallCodec: StageCallCodec = {
  runPath: '/-/stage-run',
  releasePath: '/-/stage-free',
  encodeHeaders: upstreamId => ['content-type', 'application/json', headerNames.expectedInstance, upstreamId],
  encodePieces: pieces => JSON.stringify({ items: pieces.map(encodePiece) }),
  encodeRelease: handles => JSON.stringify({ handles }),
  decodeResults
}

function encodePiece (piece: StagePiece): unknown {
  const { requestId, stageIndex, pieceIndex, timeLeftMs, pieceKey, inputs } = piece
  return {
    id: requestId,
    stage: stageIndex,
    piece: pieceIndex,
    remainingMs: Math.max(1, Math.floor(timeLeftMs)),
    ...inputs === undefined ? { key: pieceKey } : { inputs }
  }
}

/** Undefined when the body is not a valid response to a call of `count` pieces. */
function decodeResults (body: string, count: number): readonly StagePieceResult[] | undefined {
  const parsed = responseSchema.safeParse(parseJson(body))
  if (!parsed.success || parsed.data.items.length !== count) return undefined
  return parsed.data.items.map(({ handle, reason }) =>
    handle === undefined ? { failure: failuresByReason[reason as keyof typeof failuresByReason] ?? 'error' } : { handle })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The caller reports a response that cannot be decoded as a failed call.
    return undefined
  }
}
