import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server could not be reached or did not answer in time; a change may have taken effect. */
export class ServerUnreachableError extends LycheetrackError {
  readonly code = 'server_unreachable'
}
