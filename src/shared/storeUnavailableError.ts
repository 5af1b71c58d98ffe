import { LycheetrackError } from './lycheetrackError.js'

/** The platform's store did not accept the call; nothing was changed. */
export class StoreUnavailableError extends LycheetrackError {
  readonly code = 'store_unavailable'
  override readonly httpStatus = 503
}
