import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The response does not match the API, for example because another program listens at the address. */
export class InvalidServerResponseError extends LycheetrackError {
  readonly code = 'server_answer_invalid'
}
