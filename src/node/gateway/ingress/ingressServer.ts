import { createServer } from 'node:http'
import { ClientConnections } from './clientConnections.js'
import { ConnectionRoom } from '../../listeners/connectionRoom.js'
import { decodeInputError } from './decodeInputError.js'
import { ingressConstants } from './constants.js'
import { listenerConstants } from '../../listeners/constants.js'
import { openListener } from '../../listeners/openListener.js'
import { releaseMessageHead } from './releaseMessageHead.js'
import { RequestHandler } from './requestHandler.js'
import { waitForArrivals } from '../../listeners/waitForArrivals.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { IngressLimits } from '../model/ingressLimits.js'
import type { IngressOptions } from './ingressOptions.js'
import type { Socket } from 'node:net'

/** The HTTP server for clients. */
export class IngressServer {
  private readonly server: Server
  private readonly connections: ClientConnections
  private readonly handler: RequestHandler
  private readonly room: ConnectionRoom
  private unreadTimeoutMs: number = listenerConstants.defaultUnreadTimeoutMs

  constructor (private readonly options: IngressOptions) {
    this.connections = new ClientConnections(options)
    this.handler = new RequestHandler(options)
    this.server = createServer({
      maxHeaderSize: ingressConstants.maxHeaderBytes,
      // Node.js would answer by itself and close the connection, without regard to the requests around it.
      requireHostHeader: false,
      keepAliveTimeout: ingressConstants.initialIdleTimeoutMs,
      headersTimeout: ingressConstants.initialHeaderTimeoutMs,
      connectionsCheckingInterval: ingressConstants.connectionCheckMs,
      noDelay: true
    }, (request, response) => { this.onRequest(request, response) })
    const { clock, logger, metrics } = options.dependencies
    this.room = new ConnectionRoom({
      server: this.server,
      maxConnections: options.maxConnections,
      getUnreadTimeoutMs: () => this.unreadTimeoutMs,
      closeUnread: (socket, reason) => { this.connections.find(socket)?.closeUnread(reason) },
      clock,
      logger,
      metrics
    })
    // Clients that ask before they send a body are told to go on when it is admitted.
    this.server.on('checkContinue', (request, response) => { this.onRequest(request, response) })
    // Without this property, which @types/node lacks, Node.js closes the connection when the client ends its direction.
    Object.assign(this.server, { httpAllowHalfOpen: true })
    // To Node.js, a connection is idle when its response has ended, although the client may not have read it yet.
    this.server.closeIdleConnections = () => { this.connections.closeIdle() }
    this.server.on('connection', socket => {
      if (this.room.admit(socket)) this.connections.onOpened(socket)
    })
    // Node.js destroys an idle connection at the end of its time when nothing listens.
    this.server.on('timeout', socket => { this.connections.onIdleTimeout(socket) })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.onClientError(error.code, socket as Socket)
    })
    // Node.js closes the connection at once when nothing listens.
    this.server.on('connect', (_message, socket) => {
      this.connections.onInputError({ code: 'CONNECT', status: 400 }, socket as Socket)
    })
  }

  /** Requests in progress. */
  get requestCount (): number {
    return this.connections.requestCount
  }

  async start (address: string): Promise<void> {
    const [host, port] = address.split(':')
    await openListener(this.server, { port: Number(port), host, backlog: ingressConstants.listenBacklog })
  }

  applyLimits (limits: IngressLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs
    this.server.headersTimeout = limits.headerTimeoutMs
    this.unreadTimeoutMs = limits.unreadTimeoutMs ?? listenerConstants.defaultUnreadTimeoutMs
    const maxHeaderSize = Math.min(limits.maxHeaderBytes, ingressConstants.maxHeaderBytes)
    if (maxHeaderSize === this.connections.maxHeaderSize) return
    // Node.js reads this property for each new connection; only its type is missing.
    Object.assign(this.server, { maxHeaderSize })
    this.connections.setMaxHeaderSize(maxHeaderSize)
  }

  /** From now on, responses ask clients to close their connections, and requests get their response by `stopsAtMs`. */
  startClosing (stopsAtMs: number): void {
    this.handler.startClosing(stopsAtMs)
  }

  /** Sends requests in progress their final response and cuts off streams; refuses those that are being received. */
  endRequests (): void {
    this.handler.endRequests()
  }

  /** Closes the connections that have no request in progress. */
  closeIdle (): void {
    this.connections.closeIdleAfterArrivals()
  }

  /** Stops accepting connections; resolves when all connections are closed. */
  async stop (): Promise<void> {
    await waitForArrivals()
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  /** Closes the connections that are left, because the process ends. */
  async endConnections (): Promise<void> {
    await this.connections.endAll()
  }

  private onClientError (code: string | undefined, socket: Socket): void {
    this.options.dependencies.metrics.addCount('client_errors', { code: code ?? 'unknown' })
    const error = decodeInputError(code)
    if (error === undefined) socket.destroy()
    else if (socket.writable) this.connections.onInputError(error, socket)
  }

  private onRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.find(message.socket)
    const exchange = connection?.add(message, response)
    if (connection === undefined || exchange === undefined) return releaseMessageHead(message)
    this.handler.serveRequest(connection, exchange).catch((error: Error) => {
      const { logger } = this.options.dependencies
      logger.recordError('request failed unexpectedly', { reason: error.message, stack: error.stack })
      connection.setCloseReason('failure')
      response.destroy()
    })
  }
}
