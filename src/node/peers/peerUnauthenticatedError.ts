import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A call between hosts carried no valid proof of the shared secret. */
export class PeerUnauthenticatedError extends LycheetrackError {
  readonly code = 'peer_unauthenticated'
  override readonly httpStatus = 401
}
