import { Socket } from 'node:net'
import { AnswerCutOffError } from './answerCutOffError.js'
import { upstreamConstants } from './constants.js'

const resetDetail = 'reset before the end of the answer'

/**
 * Socket that gives the HTTP parser what was received in small pieces, and nothing after the connection was closed.
 * Beyond its limit for headers the parser closes the connection, but goes on with all bytes that it has been given, at
 * the cost of an error for each further header.
 *
 * It also reports a reset, or an end before the request is written, as an error of its own. The HTTP client takes what
 * came before either of them for a whole answer when the answer has no length.
 */
export class PieceSocket extends Socket {
  override read (size?: number): Buffer | null {
    if (this.destroyed) return null
    const isLong = this.readableLength > upstreamConstants.parsedPieceBytes
    return super.read(size ?? (isLong ? upstreamConstants.parsedPieceBytes : undefined)) as Buffer | null
  }

  // eslint-disable-next-line no-restricted-syntax -- a name of Node.js
  override emit (event: string | symbol, ...args: unknown[]): boolean {
    if (event !== 'end' || this.destroyed) return super.emit(event, ...args)
    // A reset that is polled together with data is reported as the end. The kernel has no peer address for a socket
    // that was reset.
    if (this.remoteAddress === undefined) this.destroy(new AnswerCutOffError(resetDetail))
    else if (this.writableLength > 0) this.destroy(new AnswerCutOffError('closed before the end of the request'))
    else return super.emit(event, ...args)
    return true
  }

  // eslint-disable-next-line no-restricted-syntax -- a name of Node.js
  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    const isReset = (error as NodeJS.ErrnoException | null)?.code === 'ECONNRESET'
    super._destroy(isReset ? new AnswerCutOffError(resetDetail, { cause: error! }) : error, callback)
  }
}
