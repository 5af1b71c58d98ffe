import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The server answered with an error; `code` is the server's. */
export class ServerRefusedError extends LycheetrackError {
  /** `revision` is the stored revision, where the server names it. */
  constructor (readonly code: string, override readonly httpStatus: number, message: string, readonly revision?: number) {
    super(message)
  }
}
