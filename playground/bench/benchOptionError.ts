import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** A command-line option of the bench has an unknown name or value. */
export class BenchOptionError extends LycheetrackError {
  readonly code = 'bench_option_invalid'
}
