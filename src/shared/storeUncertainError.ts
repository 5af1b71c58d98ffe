import { LycheetrackError } from './lycheetrackError.js'

/** The response to a write to the platform's store was lost; the write may have taken effect. */
export class StoreUncertainError extends LycheetrackError {
  readonly code = 'store_uncertain'
  override readonly httpStatus = 503
}
