import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** A connection delivered the response to another request. */
export class UpstreamResponseMismatchError extends LycheetrackError {
  readonly code = 'upstream_answer_foreign'
}
