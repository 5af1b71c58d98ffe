import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { AnswerEnd } from './answerEnd.js'
import { RequestError } from './requestError.js'

/**
 * Converts any thrown value into the error that ends an answer. Unexpected errors become `internal_error` without
 * details.
 */
export function buildErrorEnd (error: unknown): AnswerEnd & { kind: 'error' } {
  if (error instanceof RequestError) {
    return { kind: 'error', code: error.code, message: error.message, ran: error.ran, httpStatus: error.httpStatus, ...error.details }
  }
  if (error instanceof LycheetrackError) {
    return { kind: 'error', code: error.code, message: error.message, ran: error.ran, httpStatus: error.httpStatus }
  }
  return { kind: 'error', code: 'internal_error', message: 'internal error', ran: 'unknown', httpStatus: 500 }
}
