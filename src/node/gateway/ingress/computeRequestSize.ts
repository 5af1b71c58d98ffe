import type { IncomingMessage } from 'node:http'
import type { RequestSize } from './requestSize.js'

/** Computes the size of a request from its head. */
export function computeRequestSize ({ method, url, headers, rawHeaders }: IncomingMessage): RequestSize {
  const fieldBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0)
  return {
    headBytes: (method?.length ?? 0) + (url?.length ?? 0) + fieldBytes,
    bodyBytes: headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined
  }
}
