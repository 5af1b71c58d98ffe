import { ClientExchange } from './clientExchange.js'
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

/** The state of one client's connection: its requests that have no whole response yet, in the order of their arrival. */
export class ClientConnection {
  private readonly exchanges: ClientExchange[] = []
  private closeReason: CutOffReason | undefined
  private hasClientLeft = false

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

  add (message: IncomingMessage, response: ServerResponse): ClientExchange {
    const exchange = new ClientExchange(message, response, this.options.clock.readMonotonicMs())
    this.exchanges.push(exchange)
    response.once('close', () => { this.onResponseClosed(exchange) })
    return exchange
  }

  /** Notes why the host is about to close the connection; the first reason stays. */
  setCloseReason (reason: CutOffReason): void {
    this.closeReason ??= reason
  }

  private onResponseClosed (exchange: ClientExchange): void {
    if (!exchange.response.writableFinished) return
    this.exchanges.splice(this.exchanges.indexOf(exchange), 1)
    if (!this.options.socket.writable && !this.hasClientLeft) this.setCloseReason('response-closed')
  }

  private onClosed (): void {
    const { clock, onCutOff } = this.options
    for (const { requestId, response, isPassedOn, arrivedAtMs } of this.exchanges.splice(0)) {
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
