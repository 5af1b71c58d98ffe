import { createServer } from 'node:http'
import { computeTargetLeftMs } from './computeTargetLeftMs.js'
import { ClientConnection } from './clientConnection.js'
import { ClientResponse } from './clientResponse.js'
import { decodeInputError } from './decodeInputError.js'
import { ingressConstants } from './constants.js'
import { openListener } from '../../listeners/openListener.js'
import { readRequestBody } from './readRequestBody.js'
import { RequestRun } from './requestRun.js'
import type { ClientExchange } from './clientExchange.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { ConfigurationHolder } from '../configuration/configurationHolder.js'
import type { CutOffRequest } from './cutOffRequest.js'
import type { ErrorHeaderEncoder } from './errorHeaderEncoder.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { InputError } from './inputError.js'
import type { IngressLimits } from '../model/ingressLimits.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { Route } from '../model/route.js'
import type { Socket } from 'node:net'

interface IngressOptions {
  readonly configuration: ConfigurationHolder
  readonly dependencies: RequestRunDependencies
  readonly encodeErrorHeaders: ErrorHeaderEncoder
  readonly decodeRequest: (request: IncomingMessage) => ClientRequest | undefined
}

/** The HTTP server for clients. */
export class IngressServer {
  private readonly server: Server
  /** Monotonic time at which the host stops; undefined until draining starts. */
  private stopsAtMs: number | undefined
  private readonly connections = new Map<Socket, ClientConnection>()
  private readonly runs = new Set<RequestRun>()

  constructor (private readonly options: IngressOptions) {
    this.server = createServer({
      maxHeaderSize: ingressConstants.maxHeaderBytes,
      // Node.js would answer by itself and close the connection, without regard to the requests around it.
      requireHostHeader: false,
      keepAliveTimeout: ingressConstants.initialIdleTimeoutMs,
      headersTimeout: ingressConstants.initialHeaderTimeoutMs,
      connectionsCheckingInterval: ingressConstants.connectionCheckMs,
      noDelay: true
    }, (request, response) => { this.onRequest(request, response) })
    // To Node.js, a connection is idle when its response has ended, although the client may not have read it yet.
    this.server.closeIdleConnections = () => {
      for (const connection of this.connections.values()) connection.closeIfIdle()
    }
    this.server.on('connection', socket => { this.onConnection(socket) })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.onClientError(error.code, socket as Socket) })
    // Node.js closes the connection at once when nothing listens.
    this.server.on('connect', (_message, socket) => { this.onInputError({ code: 'CONNECT', status: 400 }, socket as Socket) })
  }

  /** Requests in progress. */
  get requestCount (): number {
    let count = 0
    for (const connection of this.connections.values()) count += connection.requestCount
    return count
  }

  async start (address: string): Promise<void> {
    const [host, port] = address.split(':')
    await openListener(this.server, { port: Number(port), host, backlog: ingressConstants.listenBacklog })
  }

  applyLimits (limits: IngressLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs
    this.server.headersTimeout = limits.headerTimeoutMs
  }

  /** From now on, responses ask clients to close their connections, and requests get their response by `stopsAtMs`. */
  startClosing (stopsAtMs: number): void {
    this.stopsAtMs = stopsAtMs
  }

  /** Sends the requests in progress their final response and cuts off streams. */
  endRequests (): void {
    for (const run of this.runs) run.endNow('the host stops')
  }

  /** Closes the connections that have no request in progress. */
  closeIdle (): void {
    this.server.closeIdleConnections()
  }

  /** Stops accepting connections; resolves when all connections are closed. */
  async stop (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  private onConnection (socket: Socket): void {
    const { clock, logger, metrics } = this.options.dependencies
    const onCutOff = (request: CutOffRequest): void => {
      metrics.addCount('requests_cut_off', { reason: request.reason, passed_on: String(request.wasPassedOn) })
      logger.recordWarning('request cut off', { ...request })
    }
    this.connections.set(socket, new ClientConnection({ socket, clock, onCutOff }))
    socket.once('close', () => { this.connections.delete(socket) })
  }

  private onClientError (code: string | undefined, socket: Socket): void {
    this.options.dependencies.metrics.addCount('client_errors', { code: code ?? 'unknown' })
    const error = decodeInputError(code)
    if (error !== undefined && socket.writable) this.onInputError(error, socket)
    else socket.destroy()
  }

  private onInputError (error: InputError, socket: Socket): void {
    const connection = this.connections.get(socket)
    this.options.dependencies.logger.recordInfo('bytes not readable', { ...error, openRequests: connection?.requestCount })
    connection?.handleInputError(error)
  }

  private onRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(message.socket)
    const exchange = connection?.add(message, response)
    if (connection === undefined || exchange === undefined) return
    this.serveRequest(connection, exchange).catch(error => {
      const { logger } = this.options.dependencies
      logger.recordError('request failed unexpectedly', { reason: (error as Error).message, stack: (error as Error).stack })
      connection.setCloseReason('failure')
      response.destroy()
    })
  }

  private async serveRequest (connection: ClientConnection, exchange: ClientExchange): Promise<void> {
    const { message, response, arrivedAtMs } = exchange
    const { configuration, dependencies, decodeRequest } = this.options
    const request = decodeRequest(message)
    exchange.requestId = request?.id
    const clientResponse = new ClientResponse({
      response,
      requestId: request?.id,
      encodeErrorHeaders: this.options.encodeErrorHeaders,
      isClosing: () => connection.decideClosing(exchange, this.stopsAtMs !== undefined),
      onBrokenOff: brokenOff => {
        dependencies.metrics.addCount('responses_broken_off', { framed: String(brokenOff.isFramed) })
        dependencies.logger.recordInfo('response broken off', { requestId: request?.id, ...brokenOff })
      }
    })
    const current = configuration.getCurrent()
    // Without a configuration the request is refused below, so its body is read but not kept.
    const body = await exchange.waitForBody(readRequestBody(message, current?.limits.maxBodyBytes ?? 0))
    if (!await exchange.waitForTurn()) return
    if (exchange.inputError !== undefined) {
      const { status, code } = exchange.inputError
      return this.refuse(clientResponse, { request, status, code: 'malformed_request', reason: `the request is not readable: ${code}` })
    }
    if (current === undefined) {
      return this.refuse(clientResponse, {
        request,
        status: 503,
        code: 'not_ready',
        reason: 'no configuration yet',
        retryAfterMs: ingressConstants.notReadyRetryAfterMs
      })
    }
    if (body === 'too-large') return this.refuse(clientResponse, { request, status: 413, code: 'body_too_large', reason: 'body too large' })
    if (body === 'incomplete') return clientResponse.closeIncomplete('the request is incomplete')
    if (message.httpVersion === '1.1' && message.headers.host === undefined) {
      return this.refuse(clientResponse, { request, status: 400, code: 'host_required', reason: 'no Host header' })
    }
    if (request === undefined) return this.refuse(clientResponse, { status: 400, code: 'request_id_required', reason: 'no request id' })
    // The newest configuration applies, even if it arrived while the body was read.
    const { version } = configuration.getCurrent()!
    const route = configuration.findRoute(request.hostName, request.target.split('?')[0]!)
    if (route === undefined) {
      return this.refuse(clientResponse, {
        request,
        status: 404,
        code: 'unknown_route',
        reason: `no route for ${request.hostName}`
      })
    }
    const account = configuration.findAccount(route, request.apiKey)
    if (account === undefined) return this.refuse(clientResponse, { request, status: 401, code: 'unauthorized', reason: 'unknown API key' })
    const nowMs = dependencies.clock.readMonotonicMs()
    const stopsAtMs = this.stopsAtMs ?? Infinity
    if (stopsAtMs - nowMs < this.computeServingMs(route)) {
      return this.refuse(clientResponse, {
        request,
        status: 503,
        code: 'host_stopping',
        reason: 'the host stops before the request would end',
        retryAfterMs: ingressConstants.stoppingRetryAfterMs
      })
    }
    const limitMs = Math.min((request.timeLeftMs ?? route.timeoutMs) - ingressConstants.responseMarginMs, route.timeoutMs)
    const deadlineAtMs = Math.min(stopsAtMs, arrivedAtMs + limitMs)
    if (deadlineAtMs <= nowMs) {
      return this.refuse(clientResponse, {
        request,
        status: 503,
        code: 'overloaded',
        reason: 'the deadline has passed',
        retryAfterMs: ingressConstants.busyRetryAfterMs
      })
    }
    const run = new RequestRun({
      request,
      route,
      account,
      body,
      response: clientResponse,
      configurationVersion: version,
      arrivedAtMs,
      deadlineAtMs,
      targetAtMs: arrivedAtMs + computeTargetLeftMs(route, request.timeLeftMs)
    }, dependencies)
    exchange.isPassedOn = () => run.isPassedOn
    response.once('close', () => { run.cancel() })
    if (response.destroyed) return
    this.runs.add(run)
    try {
      await run.run()
    } finally {
      this.runs.delete(run)
    }
  }

  /** Time in which requests of a route usually get their whole answer. */
  private computeServingMs ({ callKind, targets }: Route): number {
    const { minStreamTimeMs, minPlainTimeMs, stopDurationFactor } = ingressConstants
    if (callKind === 'stream') return minStreamTimeMs
    const { directory } = this.options.dependencies
    const usualMs = Math.max(0, ...targets.map(({ service }) => directory.computeUsualDurationMs(service)))
    return Math.max(minPlainTimeMs, usualMs * stopDurationFactor)
  }

  private refuse (clientResponse: ClientResponse, refusal: {
    readonly request?: ClientRequest,
    readonly status: number,
    readonly code: string,
    readonly reason: string,
    readonly retryAfterMs?: number
  }): void {
    const { logger, metrics } = this.options.dependencies
    const { request, status, code, reason, retryAfterMs } = refusal
    const version = this.options.configuration.getCurrent()?.version
    logger.recordInfo('request rejected', {
      requestId: request?.id,
      status,
      code,
      reason,
      path: request?.target,
      configurationVersion: version
    })
    metrics.addCount('requests_rejected', { code })
    clientResponse.writeError(status, code, reason, retryAfterMs)
  }
}
