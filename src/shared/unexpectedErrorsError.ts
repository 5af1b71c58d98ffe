import { LycheetrackError } from './lycheetrackError.js'

/** Unexpected errors kept coming, so the host was stopped. */
export class UnexpectedErrorsError extends LycheetrackError {
  readonly code = 'unexpected_errors'
}
