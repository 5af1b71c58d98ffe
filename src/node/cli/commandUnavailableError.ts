import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** This build lacks a component that the command needs. */
export class CommandUnavailableError extends LycheetrackError {
  readonly code = 'command_unavailable'
  override readonly ran = 'not_run'
}
