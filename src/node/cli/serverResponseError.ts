import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server answered with an error; `code` is the server's. */
export class ServerResponseError extends LycheetrackError {
  constructor (readonly code: string, override readonly httpStatus: number, message: string) {
    super(message)
  }
}
