import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server responded with an error; `code` is the error code of the response. */
export class ServerResponseError extends LycheetrackError {
  constructor (readonly code: string, override readonly httpStatus: number, message: string) {
    super(message)
  }
}
