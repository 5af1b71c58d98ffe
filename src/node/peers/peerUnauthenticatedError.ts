import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A peer call carried no valid proof that the caller knows the shared secret. */
export class PeerUnauthenticatedError extends LycheetrackError {
  readonly code = 'peer_unauthenticated'
  override readonly httpStatus = 401
}
