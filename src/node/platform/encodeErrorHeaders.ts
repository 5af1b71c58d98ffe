import { headerNames } from './headerNames.js'

/** Encodes the headers of an error response of the gateway as alternating names and values. */
export function encodeErrorHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[] {
  const headers = ['content-type', 'application/json']
  if (requestId !== undefined) headers.push(headerNames.requestId, requestId)
  // Rounded up: a wait of a fraction of a millisecond must not tell the client to come again at once.
  if (retryAfterMs !== undefined) headers.push(headerNames.retryAfter, (Math.ceil(retryAfterMs) / 1000).toFixed(3))
  return headers
}
