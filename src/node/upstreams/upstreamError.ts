import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { ExecutionState } from '../../types/executionState.js'

/**
 * Failure of a call to an upstream. `ran` is `not_run` only when no byte was sent or the upstream itself refused the
 * work. `sent` is true when a byte of the call was sent.
 */
export class UpstreamError extends LycheetrackError {
  override readonly httpStatus = 502
  override readonly ran: ExecutionState

  constructor (readonly code: string, message: string, ran: ExecutionState, readonly sent: boolean, options?: ErrorOptions) {
    super(message, options)
    this.ran = ran
  }
}
