import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { ExecutionState } from '../../types/executionState.js'

interface RequestErrorDetails {
  /** Time after which a retry may succeed. */
  readonly retryAfterMs?: number
  /** Addresses of other hosts that accept requests. */
  readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
}

/** Refusal or failure of a request. */
export class RequestError extends LycheetrackError {
  override readonly httpStatus: number
  override readonly ran: ExecutionState

  constructor (readonly code: string, message: string, httpStatus: number, ran: ExecutionState, readonly details: RequestErrorDetails = {}) {
    super(message)
    this.httpStatus = httpStatus
    this.ran = ran
  }
}
