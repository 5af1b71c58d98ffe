import { LycheetrackError } from './lycheetrackError.js'

/** The key-value service did not accept the call; a write certainly had no effect. */
export class KeyValueUnavailableError extends LycheetrackError {
  readonly code = 'key_value_unavailable'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
