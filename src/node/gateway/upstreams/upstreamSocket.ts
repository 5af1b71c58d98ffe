import { OversizedAnswerError } from './oversizedAnswerError.js'
import { PieceSocket } from './pieceSocket.js'
import { upstreamConstants } from './constants.js'

const lineFeed = 10

/**
 * Socket to an upstream that ends an answer whose framing is too long: a status line, header lines, trailers, a chunk
 * size or a chunk extension without end. The HTTP parser does not limit all of them, and needs some hundred bytes of
 * memory for each header line.
 */
export class UpstreamSocket extends PieceSocket {
  private framingBytes = 0
  private framingLines = 0
  /** What the parser got last, unless it was part of a body. */
  private framingPiece: Buffer | undefined

  /** Part of the body of an answer was received, or a head that is followed by one. */
  onProgress (): void {
    this.framingBytes = 0
    this.framingLines = 0
    this.framingPiece = undefined
  }

  override read (size?: number): Buffer | null {
    this.countFramingLines()
    const piece = super.read(size)
    if (piece === null) return null
    this.framingBytes += piece.length
    this.framingPiece = piece
    const { maxFramingBytes, maxFramingLines } = upstreamConstants
    if (this.framingBytes > maxFramingBytes) return this.endOversized(`${maxFramingBytes} bytes`)
    if (this.framingLines > maxFramingLines) return this.endOversized(`${maxFramingLines} lines`)
    return piece
  }

  private countFramingLines (): void {
    for (const byte of this.framingPiece ?? []) if (byte === lineFeed) this.framingLines++
    this.framingPiece = undefined
  }

  private endOversized (limit: string): null {
    this.destroy(new OversizedAnswerError(`more than ${limit} without a body`))
    return null
  }
}
