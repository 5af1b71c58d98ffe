import type { ClientRequest } from '../model/clientRequest.js'
import type { UpstreamRequestOptions } from '../model/upstreamRequestOptions.js'

/** Headers of a request to an upstream, names and values in turn. */
export type UpstreamHeaderEncoder = (request: ClientRequest, options: UpstreamRequestOptions) => string[]
