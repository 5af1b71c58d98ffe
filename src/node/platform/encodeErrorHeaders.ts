import { headerNames } from './headerNames.js'

/** Headers of an answer that this system makes itself, names and values in turn. */
export function encodeErrorHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[] {
  const headers = ['content-type', 'application/json']
  if (requestId !== undefined) headers.push(headerNames.requestId, requestId)
  if (retryAfterMs !== undefined) headers.push(headerNames.retryAfter, (retryAfterMs / 1000).toFixed(3))
  return headers
}
