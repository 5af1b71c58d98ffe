import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { CallerApi } from './callerApi.js'
import { CallerInputs } from './callerInputs.js'
import { ConnectionRoom } from '../listeners/connectionRoom.js'
import { listenerConstants } from '../listeners/constants.js'
import { systemClock } from '../../shared/systemClock.js'
import type { CallerServerOptions } from './callerServerOptions.js'
import { serverConstants } from './constants.js'

/**
 * Creates the HTTP server of the caller and administration APIs. The server does not listen yet: the code that
 * creates it opens its port, with `serverConstants.listenBacklog`, and closes it.
 */
export function createCallerServer (options: CallerServerOptions): Server {
  const api = new CallerApi(options)
  const bodyTimeoutMs = options.bodyTimeoutMs ?? serverConstants.bodyTimeoutMs
  const inputs = new CallerInputs()
  const server = createServer({
    headersTimeout: bodyTimeoutMs,
    connectionsCheckingInterval: serverConstants.headersTimeoutCheckMs,
    // The body timeout of the API responds with a typed error first; this timeout only closes connections that remain.
    requestTimeout: 2 * bodyTimeoutMs,
    keepAliveTimeout: serverConstants.connectionKeepAliveTimeoutMs,
    noDelay: true
  }, (request, response) => {
    inputs.addRequest(request, response)
    api.handle(request, response).catch(() => response.destroy())
  })
  const { logger, metrics, maxConnections = Infinity, unreadTimeoutMs = listenerConstants.defaultUnreadTimeoutMs } = options
  const room = new ConnectionRoom({
    server,
    maxConnections,
    getUnreadTimeoutMs: () => unreadTimeoutMs,
    closeUnread: (socket, reason) => {
      metrics.addCount('answers_cut_off', { reason })
      logger.recordWarning('answer cut off', { reason, unsentBytes: socket.writableLength })
      socket.resetAndDestroy()
    },
    clock: systemClock,
    logger,
    metrics
  })
  server.on('connection', socket => { if (room.admit(socket)) inputs.addConnection(socket) })
  return server
}
