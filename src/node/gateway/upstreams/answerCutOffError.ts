import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/**
 * A connection was reset, or closed while a request was being written; what arrived before may be a part of an answer.
 */
export class AnswerCutOffError extends LycheetrackError {
  readonly code = 'answer_cut_off'
}
