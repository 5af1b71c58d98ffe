import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A part of the program that a command needs is not in this build. */
export class CommandUnavailableError extends LycheetrackError {
  readonly code = 'command_unavailable'
  override readonly ran = 'not_run'
}
