import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** The benchmark cannot measure, because answers are incomplete. */
export class BenchError extends LycheetrackError {
  readonly code = 'bench_failed'
}
