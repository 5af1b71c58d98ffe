import { LycheetrackError } from './lycheetrackError.js'

/** The answer of a write was lost; the write may have taken effect. */
export class KeyValueUncertainError extends LycheetrackError {
  readonly code = 'key_value_uncertain'
  override readonly httpStatus = 503
}
