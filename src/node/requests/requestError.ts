import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { RanState } from '../../types/ranState.js'

interface RequestErrorDetails {
  /** Time after which a new try can succeed. */
  readonly retryAfterMs?: number
  /** Other hosts that take requests. */
  readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
}

/** A request was refused or failed. */
export class RequestError extends LycheetrackError {
  override readonly httpStatus: number
  override readonly ran: RanState

  constructor (readonly code: string, message: string, httpStatus: number, ran: RanState, readonly details: RequestErrorDetails = {}) {
    super(message)
    this.httpStatus = httpStatus
    this.ran = ran
  }
}
