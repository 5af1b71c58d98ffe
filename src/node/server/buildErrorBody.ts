import type { AnswerEnd } from '../requests/answerEnd.js'

/** Builds the error object of the caller API. */
export function buildErrorBody (end: Extract<AnswerEnd, { kind: 'error' }>, requestId?: string) {
  const { code, message, ran, retryAfterMs, addresses } = end
  return { error: { code, message, ran, requestId, retryAfterMs, addresses } }
}
