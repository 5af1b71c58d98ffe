import { LycheetrackError } from './lycheetrackError.js'

/** The response to a write to the key-value service was lost; the write may have taken effect. */
export class KeyValueUncertainError extends LycheetrackError {
  readonly code = 'key_value_uncertain'
  override readonly httpStatus = 503
}
