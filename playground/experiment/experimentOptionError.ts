import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** An option of the experiment tool cannot be used. */
export class ExperimentOptionError extends LycheetrackError {
  readonly code = 'experiment_option_invalid'
}
