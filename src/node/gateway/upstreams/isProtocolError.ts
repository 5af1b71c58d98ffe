import { errors } from 'undici'
import { OversizedAnswerError } from './oversizedAnswerError.js'

/**
 * Whether the HTTP client failed because of bytes that no correct upstream sends. `wasClosed`: the upstream closed the
 * connection in order; the parser then reports an answer without its end by the same errors.
 */
export function isProtocolError (error: Error, wasClosed: boolean): boolean {
  if (error instanceof OversizedAnswerError) return true
  if (error instanceof errors.SocketError) return error.message === 'bad upgrade'
  const isUnparsable = error instanceof errors.HTTPParserError || error instanceof errors.HeadersOverflowError ||
    error instanceof errors.ResponseContentLengthMismatchError
  return isUnparsable && !wasClosed
}
