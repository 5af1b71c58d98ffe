import { Client } from 'undici'
import { openUpstreamSocket } from './openUpstreamSocket.js'
import { upstreamConstants } from './constants.js'
import { UpstreamExchange } from './upstreamExchange.js'
import type { CancelExchange } from './cancelExchange.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { ExchangeHandler } from './exchangeHandler.js'
import type { ExchangeRequest } from './exchangeRequest.js'
import type { UpstreamSocket } from './upstreamSocket.js'

interface ConnectionOptions {
  /** `ip:port` */
  readonly address: string
  readonly decodeResponse: ResponseDecoder
  readonly connectTimeoutMs: number
  /** Time for which the connection is kept unused when the upstream states none. */
  readonly idleTimeoutMs: number
  readonly onClosed: (connection: UpstreamConnection) => void
  readonly onOpened: () => void
}

/** One keep-alive connection to an upstream; carries one request at a time. */
export class UpstreamConnection {
  /** Whether the connection broke or must not be used again. */
  isClosed = false
  /** Whether the TCP connection was opened. */
  hasOpened = false
  /** The requests that the upstream refused last on this connection. */
  private refusedRequestIds: readonly string[] = []
  private wasReset = false
  private socket: UpstreamSocket | undefined
  private readonly client: Client

  constructor (private readonly options: ConnectionOptions) {
    const { address, connectTimeoutMs, idleTimeoutMs, onOpened } = options
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      maxHeaderSize: upstreamConstants.maxParsedHeaderBytes,
      // 0 disables undici's timeouts: callers that limit the time of a request cancel it.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: upstreamConstants.maxIdleTimeoutMs,
      keepAliveTimeoutThreshold: upstreamConstants.idleMarginMs,
      connect: (_, callback) => {
        // The TCP connection is opened only once: a request on a broken one fails instead of being sent on a new one.
        if (this.hasOpened) return callback(new Error('the connection is closed'), null)
        const onReset = (): void => { this.wasReset = true }
        openUpstreamSocket({ address, timeoutMs: connectTimeoutMs, onReset }, (...result) => {
          this.socket = result[1] ?? undefined
          callback(...result)
        })
      }
    })
    this.client.on('connect', () => {
      this.hasOpened = true
      onOpened()
    })
    this.client.on('disconnect', () => { this.close() })
    this.client.on('connectionError', () => { this.close() })
  }

  /** Sends a request; the returned function cancels it and closes the connection. */
  send (request: ExchangeRequest, handler: ExchangeHandler): CancelExchange {
    const exchange = new UpstreamExchange({
      requestId: request.requestId,
      isSendable: request.isSendable,
      decodeResponse: this.options.decodeResponse,
      handler,
      wasReset: () => this.wasReset,
      wasClosed: () => this.socket?.readableEnded === true,
      onProgress: () => { this.socket?.onProgress() }
    })
    this.client.dispatch({
      method: request.method as 'GET',
      path: request.path,
      headers: request.headers,
      body: request.body ?? null
    }, exchange)
    return protocolError => {
      exchange.cancel(protocolError)
      this.close()
    }
  }

  /** Whether another request may be sent; false once the socket is closed, which `isClosed` tells only later. */
  isUsable (): boolean {
    return !this.isClosed && this.socket?.destroyed === false
  }

  addRefusedRequest (requestId: string): void {
    this.refusedRequestIds = [...this.refusedRequestIds, requestId].slice(-upstreamConstants.maxRefusedRequests)
  }

  hasRefused (requestId: string): boolean {
    return this.refusedRequestIds.includes(requestId)
  }

  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.options.onClosed(this)
    // The failure of a request in progress is reported through its handler.
    this.client.destroy().catch(() => {})
  }
}
