import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A claim could not be confirmed in time; the call was not sent. */
export class ClaimTimeoutError extends LycheetrackError {
  readonly code = 'claim_unavailable'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
