import { headerNames } from './headerNames.js'
import type { ClientRequest } from '../gateway/model/clientRequest.js'
import type { UpstreamRequestOptions } from '../gateway/model/upstreamRequestOptions.js'

/** Encodes the headers of a request to an upstream as alternating names and values. */
export function encodeUpstreamHeaders (request: ClientRequest, options: UpstreamRequestOptions): string[] {
  const headers = ['host', request.hostName, ...request.forwardedHeaders, headerNames.timeLeft, String(Math.max(1, Math.floor(options.timeLeftMs))), headerNames.expectedInstance, options.upstreamId]
  if (options.accountName !== undefined) headers.push(headerNames.account, options.accountName)
  if (options.lastEventId !== undefined) headers.push(headerNames.lastEventId, options.lastEventId)
  if (options.priority !== undefined) headers.push(headerNames.priority, String(options.priority))
  if (options.inputs.length > 0) headers.push(headerNames.inputs, options.inputs.join(','))
  return headers
}
