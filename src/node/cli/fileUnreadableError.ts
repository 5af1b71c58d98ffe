import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A file named on the command line cannot be read or written, or does not hold JSON. */
export class FileUnreadableError extends LycheetrackError {
  readonly code = 'file_unreadable'
  override readonly ran = 'not_run'
}
