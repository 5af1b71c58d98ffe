import { LycheetrackError } from './lycheetrackError.js'

/** A peer host could not be reached or did not respond in time. */
export class PeerUnavailableError extends LycheetrackError {
  readonly code = 'peer_unavailable'
  override readonly httpStatus = 503
}
