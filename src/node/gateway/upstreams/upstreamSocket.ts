import { OversizedAnswerError } from './oversizedAnswerError.js'
import { PieceSocket } from './pieceSocket.js'
import { upstreamConstants } from './constants.js'

/**
 * Socket to an upstream that ends an answer whose framing is too long: a status line, header lines, trailers, a chunk
 * size or a chunk extension without end. The HTTP parser does not limit all of them.
 */
export class UpstreamSocket extends PieceSocket {
  private framingBytes = 0

  /** Part of the body of an answer was received, or a head that is followed by one. */
  onProgress (): void {
    this.framingBytes = 0
  }

  override read (size?: number): Buffer | null {
    const piece = super.read(size)
    if (piece === null) return null
    this.framingBytes += piece.length
    if (this.framingBytes <= upstreamConstants.maxFramingBytes) return piece
    this.destroy(new OversizedAnswerError(`more than ${upstreamConstants.maxFramingBytes} bytes without a body`))
    return null
  }
}
