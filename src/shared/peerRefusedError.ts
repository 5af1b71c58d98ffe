import { LycheetrackError } from './lycheetrackError.js'

/** A peer host responded with a typed error; `code` is the error code that the peer sent. */
export class PeerRefusedError extends LycheetrackError {
  override readonly httpStatus = 502

  constructor (readonly code: string, message: string) {
    super(message)
  }
}
