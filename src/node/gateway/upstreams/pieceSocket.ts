import { Socket } from 'node:net'
import { upstreamConstants } from './constants.js'

/**
 * Socket that gives the HTTP parser what was received in small pieces, and nothing after the connection was closed.
 * Beyond its limit for headers the parser closes the connection, but goes on with all bytes that it has been given, at
 * the cost of an error for each further header.
 */
export class PieceSocket extends Socket {
  override read (size?: number): Buffer | null {
    if (this.destroyed) return null
    const isLong = this.readableLength > upstreamConstants.parsedPieceBytes
    return super.read(size ?? (isLong ? upstreamConstants.parsedPieceBytes : undefined)) as Buffer | null
  }
}
