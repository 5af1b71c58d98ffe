import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A file of the command line cannot be read or written, or holds no JSON. */
export class FileUnreadableError extends LycheetrackError {
  readonly code = 'file_unreadable'
  override readonly ran = 'not_run'
}
