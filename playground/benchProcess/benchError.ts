import { LycheetrackError } from '../../src/shared/lycheetrackError.js'

/** The benchmark cannot measure, because answers are not whole. */
export class BenchError extends LycheetrackError {
  readonly code = 'bench_failed'
}
