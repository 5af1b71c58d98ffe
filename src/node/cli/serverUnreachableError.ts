import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server could not be reached or did not respond in time; a change may still have taken effect. */
export class ServerUnreachableError extends LycheetrackError {
  readonly code = 'server_unreachable'
}
