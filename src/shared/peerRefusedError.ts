import { LycheetrackError } from './lycheetrackError.js'

/** A peer host answered with a typed failure; `code` is the peer's. */
export class PeerRefusedError extends LycheetrackError {
  override readonly httpStatus = 502

  constructor (readonly code: string, message: string) {
    super(message)
  }
}
