import { computeHeadMemory } from '../memory/computeHeadMemory.js'
import type { IncomingMessage } from 'node:http'
import type { RequestSize } from './requestSize.js'

/** Computes the size of a request from its head. */
export function computeRequestSize ({ url = '', headers, rawHeaders }: IncomingMessage): RequestSize {
  return {
    headBytes: computeHeadMemory(url, rawHeaders),
    bodyBytes: headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined
  }
}
