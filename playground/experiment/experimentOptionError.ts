import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** A command-line option of the experiment has an unknown or invalid value. */
export class ExperimentOptionError extends LycheetrackError {
  readonly code = 'experiment_option_invalid'
}
