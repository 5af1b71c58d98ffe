import type { ClientRequest } from '../model/clientRequest.js'
import type { UpstreamRequestOptions } from '../model/upstreamRequestOptions.js'

/** Encodes the headers of a request to an upstream as alternating names and values. */
export type UpstreamHeaderEncoder = (request: ClientRequest, options: UpstreamRequestOptions) => string[]
