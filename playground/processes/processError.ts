import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** A process of a deployment did not start, did not answer or ended unexpectedly. */
export class ProcessError extends LycheetrackError {
  readonly code = 'process_failed'
}
