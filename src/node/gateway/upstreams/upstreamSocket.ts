import { Socket } from 'node:net'
import { OversizedAnswerError } from './oversizedAnswerError.js'
import { upstreamConstants } from './constants.js'

/**
 * Socket to an upstream that ends an answer whose framing is too long: a status line, header lines, trailers, a chunk
 * size or a chunk extension without end. The HTTP parser does not limit all of them, and goes on with all bytes that it
 * has been given after it has closed the connection, so it gets them in small pieces.
 */
export class UpstreamSocket extends Socket {
  private framingBytes = 0

  /** Part of the body of an answer was received, or a head that is followed by one. */
  onProgress (): void {
    this.framingBytes = 0
  }

  override read (size?: number): Buffer | null {
    if (this.destroyed) return null
    const isLong = this.readableLength > upstreamConstants.parsedPieceBytes
    const piece = super.read(size ?? (isLong ? upstreamConstants.parsedPieceBytes : undefined)) as Buffer | null
    if (piece === null) return null
    this.framingBytes += piece.length
    if (this.framingBytes <= upstreamConstants.maxFramingBytes) return piece
    this.destroy(new OversizedAnswerError(`more than ${upstreamConstants.maxFramingBytes} bytes without a body`))
    return null
  }
}
