import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { CallerApi } from './callerApi.js'
import type { CallerServerOptions } from './callerServerOptions.js'
import { serverConstants } from './constants.js'

/**
 * The HTTP server of the caller and administration APIs; the caller of this function opens and closes
 * its port, with `serverConstants.listenBacklog`.
 */
export function createCallerServer (options: CallerServerOptions): Server {
  const api = new CallerApi(options)
  const bodyTimeoutMs = options.bodyTimeoutMs ?? serverConstants.bodyTimeoutMs
  return createServer({
    headersTimeout: bodyTimeoutMs,
    connectionsCheckingInterval: serverConstants.headersTimeoutCheckMs,
    // The body timeout answers with a typed error; this one only closes what is left after it.
    requestTimeout: 2 * bodyTimeoutMs,
    keepAliveTimeout: serverConstants.connectionKeepAliveTimeoutMs,
    noDelay: true
  }, (request, response) => { api.handle(request, response).catch(() => response.destroy()) })
}
