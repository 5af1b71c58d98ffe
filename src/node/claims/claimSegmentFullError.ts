import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The claim segment has reached its size limit; the call was not sent. */
export class ClaimSegmentFullError extends LycheetrackError {
  readonly code = 'claim_unavailable'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
