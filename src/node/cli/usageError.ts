import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The command line is invalid; the message lists all faults, one per line. */
export class UsageError extends LycheetrackError {
  readonly code = 'usage_invalid'
  override readonly ran = 'not_run'

  constructor (readonly faults: readonly string[]) {
    super(faults.join('\n'))
  }
}
