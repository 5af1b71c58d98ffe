import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { ExecutionState } from '../../types/executionState.js'

interface UpstreamErrorOptions extends ErrorOptions {
  readonly isProtocolError?: boolean
}

/**
 * Failure of a call to an upstream. `ran` is `not_run` only when no byte was sent or the upstream itself refused the
 * work. `sent` is true when a byte of the call was sent.
 */
export class UpstreamError extends LycheetrackError {
  override readonly httpStatus = 502
  override readonly ran: ExecutionState
  /** Whether the upstream broke the protocol, for example with more than an answer may have. */
  readonly isProtocolError: boolean

  constructor (
    readonly code: string,
    message: string,
    ran: ExecutionState,
    readonly sent: boolean,
    options: UpstreamErrorOptions = {}
  ) {
    super(message, options)
    this.ran = ran
    this.isProtocolError = options.isProtocolError === true
  }
}
