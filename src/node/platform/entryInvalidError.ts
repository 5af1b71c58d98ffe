import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** An entry of the store cannot be decoded. */
export class EntryInvalidError extends LycheetrackError {
  readonly code = 'entry_invalid'
}
