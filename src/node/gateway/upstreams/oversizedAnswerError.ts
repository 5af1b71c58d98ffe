import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** An upstream sent more than an answer may have. */
export class OversizedAnswerError extends LycheetrackError {
  readonly code = 'upstream_answer_oversized'
}
