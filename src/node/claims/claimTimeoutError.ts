import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** Thrown when a claim is not confirmed before its deadline. The call was not sent. */
export class ClaimTimeoutError extends LycheetrackError {
  readonly code = 'claim_unavailable'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
