import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server's answer is not what the API describes, for example because another program answers at the address. */
export class InvalidServerResponseError extends LycheetrackError {
  readonly code = 'server_answer_invalid'
}
