import type { ServerResponse } from 'node:http'
import type { AnswerEnd } from '../requests/answerEnd.js'
import { buildErrorEnd } from '../requests/buildErrorEnd.js'
import { buildErrorBody } from './buildErrorBody.js'
import { writeJson } from './writeJson.js'

/** Responds with the error object for a failure of any kind. */
export function writeError (response: ServerResponse, error: unknown, requestId?: string): void {
  const end: Extract<AnswerEnd, { kind: 'error' }> = buildErrorEnd(error)
  const headers: Record<string, string> = {}
  if (requestId !== undefined) headers['request-id'] = requestId
  if (end.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(end.retryAfterMs / 1000)))
  if (end.httpStatus === 401) headers['www-authenticate'] = 'Bearer'
  // The rest of a slow body is not awaited, so the connection cannot be reused.
  if (end.httpStatus === 408) headers.connection = 'close'
  writeJson(response, end.httpStatus, buildErrorBody(end, requestId), headers)
}
