import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** Thrown when a claim segment would exceed its size limit. The call was not sent. */
export class ClaimSegmentFullError extends LycheetrackError {
  readonly code = 'claim_unavailable'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
