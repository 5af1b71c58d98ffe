import { ClientExchange } from './clientExchange.js'
import { ingressConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { CutOffReason } from './cutOffReason.js'
import type { CutOffRequest } from './cutOffRequest.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

interface ClientConnectionOptions {
  readonly socket: Socket
  readonly clock: Clock
  /** Called for each request that the host leaves without a response. */
  readonly onCutOff: (request: CutOffRequest) => void
}

/**
 * The state of one client's connection. Its requests are served one after the other, so that none is passed on behind a
 * response that closes the connection.
 */
export class ClientConnection {
  /** Requests without a whole response, in the order of their arrival. */
  private readonly exchanges: ClientExchange[] = []
  private closeReason: CutOffReason | undefined
  private hasClientLeft = false
  private acceptsRequests = true

  constructor (private readonly options: ClientConnectionOptions) {
    const { socket } = options
    const onLeft = (): void => { if (this.closeReason === undefined && socket.writable) this.hasClientLeft = true }
    socket.prependOnceListener('end', onLeft)
    socket.once('error', () => { this.hasClientLeft = true })
    socket.once('close', () => { this.onClosed() })
  }

  get requestCount (): number {
    return this.exchanges.length
  }

  /** Adds a request that the parser has read; undefined when it gets no response, because the connection is closed. */
  add (message: IncomingMessage, response: ServerResponse): ClientExchange | undefined {
    if (!this.acceptsRequests) return undefined
    const exchange = new ClientExchange(message, response, this.options.clock.readMonotonicMs())
    this.exchanges.push(exchange)
    response.once('close', () => { this.onResponseClosed(exchange) })
    if (this.exchanges.length === 1) exchange.startTurn()
    if (this.exchanges.length >= ingressConstants.maxPipelinedRequests) this.refuseRequests()
    return exchange
  }

  /**
   * Decides whether the response whose head is about to be sent closes the connection. The first response of a stopping
   * host is the end of reading; the requests that were read by then are answered.
   */
  decideClosing (exchange: ClientExchange, isHostStopping: boolean): boolean {
    if (isHostStopping) this.refuseRequests()
    return !this.acceptsRequests && this.exchanges.at(-1) === exchange
  }

  /** Notes why the host is about to close the connection; the first reason stays. */
  setCloseReason (reason: CutOffReason): void {
    this.closeReason ??= reason
  }

  private refuseRequests (): void {
    if (!this.acceptsRequests) return
    this.acceptsRequests = false
    const last = this.exchanges.at(-1)
    if (last === undefined || last.message.complete) this.stopReading()
    else last.message.once('end', () => { this.stopReading() })
  }

  /** Keeps reading, so that the client's close is seen, but the parser gets nothing more. */
  private stopReading (): void {
    const { socket } = this.options
    // The parser may be in the middle of a chunk.
    process.nextTick(() => {
      socket.removeAllListeners('data')
      socket.on('data', () => {})
    })
  }

  private onResponseClosed (exchange: ClientExchange): void {
    const { socket } = this.options
    if (!exchange.response.writableFinished) return
    this.exchanges.splice(this.exchanges.indexOf(exchange), 1)
    if (socket.writable) return this.exchanges[0]?.startTurn()
    if (!this.hasClientLeft) this.setCloseReason('response-closed')
    for (const waiting of this.exchanges) waiting.cancel()
  }

  private onClosed (): void {
    const { clock, onCutOff } = this.options
    for (const exchange of this.exchanges.splice(0)) {
      exchange.cancel()
      const { requestId, response, isPassedOn, arrivedAtMs } = exchange
      if (this.hasClientLeft || response.headersSent) continue
      onCutOff({
        requestId,
        reason: this.closeReason ?? 'unknown',
        wasPassedOn: isPassedOn(),
        elapsedMs: Math.round(clock.readMonotonicMs() - arrivedAtMs)
      })
    }
  }
}
