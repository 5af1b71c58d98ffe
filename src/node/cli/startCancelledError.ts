import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A stop signal came before the host had started. */
export class StartCancelledError extends LycheetrackError {
  readonly code = 'start_cancelled'
  override readonly ran = 'not_run'
}
