import { upstreamConstants } from './constants.js'
import { UpstreamConnection } from './upstreamConnection.js'
import type { CancelExchange } from './cancelExchange.js'
import type { ExchangeFailure } from './exchangeFailure.js'
import type { ExchangeSender } from './exchangeSender.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { ExchangeHandler } from './exchangeHandler.js'
import type { ExchangeRequest } from './exchangeRequest.js'
import type { TrafficObserver } from './trafficObserver.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

interface PoolOptions {
  readonly address: string
  /** @default 500 */
  readonly connectTimeoutMs?: number
  /** Time for which a connection is kept unused when the upstream states none. @default 20000 */
  readonly idleTimeoutMs?: number
  readonly decodeResponse: ResponseDecoder
  readonly getConnectionLimit: () => number
  readonly onOpened: () => void
  /** Name of a condition that forbids to send anything now; undefined when none does. */
  readonly findSendBlock?: (request: ExchangeRequest) => string | undefined
  /** Called for each request that is sent, before it. */
  readonly onSent?: (request: ExchangeRequest) => void
  /** Called once for each request that was sent, when it has ended; `failure` is undefined after a whole answer. */
  readonly onEnded?: (request: ExchangeRequest, failure?: ExchangeFailure) => void
  /** The head of an answer from the upstream. */
  readonly onHead: (head: UpstreamResponseHead) => void
  readonly traffic: TrafficObserver
  readonly upstreamId: string
  /** Way to the upstream by way of another host; undefined while this host uses its own connections. */
  readonly findRelay: () => ExchangeSender | undefined
}

/**
 * Keep-alive connections to one upstream. The most recently used connection is reused first, so that surplus ones reach
 * their idle timeout.
 */
export class UpstreamPool {
  private readonly idle: UpstreamConnection[] = []
  private readonly busy = new Set<UpstreamConnection>()
  private relayedCount = 0
  private isClosing = false

  constructor (private readonly options: PoolOptions) {}

  /** Whether a request can be sent without exceeding the connection limit. */
  hasFreeConnection (): boolean {
    const { findRelay, getConnectionLimit } = this.options
    if (findRelay() !== undefined) return this.relayedCount < getConnectionLimit()
    return this.idle.length > 0 || this.busy.size < this.options.getConnectionLimit()
  }

  /**
   * Sends a request, by way of another host while this one is cut off from the upstreams; the returned function cancels
   * it. Fails with `no-connection` at the connection limit and while a condition forbids to send.
   */
  send (request: ExchangeRequest, handler: ExchangeHandler): CancelExchange {
    const relay = this.options.findRelay()
    if (relay === undefined) return this.sendDirectly(request, handler)
    const block = this.options.findSendBlock?.(request)
    if (block !== undefined) return refuseExchange(handler, `held back: ${block}`, true)
    this.relayedCount++
    this.options.onSent?.(request)
    return relay(request, {
      onRelayed: hostId => { handler.onRelayed?.(hostId) },
      onHead: head => {
        this.options.onHead(head)
        handler.onHead(head)
      },
      onData: chunk => { handler.onData(chunk) },
      onEnd: () => {
        this.relayedCount--
        this.options.onEnded?.(request)
        handler.onEnd()
      },
      onFailure: failure => {
        this.relayedCount--
        this.options.onEnded?.(request, failure)
        handler.onFailure(failure)
      }
    })
  }

  /** Sends a request over a connection of this host; an unshared one carries no other request before or after it. */
  sendDirectly (request: ExchangeRequest, handler: ExchangeHandler, isUnshared = false): CancelExchange {
    const { traffic, upstreamId, onHead } = this.options
    const block = this.options.findSendBlock?.(request)
    if (block !== undefined) return refuseExchange(handler, `held back: ${block}`, true)
    const connection = isUnshared ? this.openUnsharedConnection() : this.takeConnection(request.requestId)
    if (connection === undefined) return refuseExchange(handler, 'connection limit reached')
    this.options.onSent?.(request)
    let mustClose = false
    traffic.onExchangeStarted()
    return connection.send(request, {
      onStarted: flow => { handler.onStarted?.(flow) },
      onHead: head => {
        traffic.onBytes()
        mustClose = head.closesConnection || isUnshared
        if (head.isNotRun && request.requestId !== undefined) connection.addRefusedRequest(request.requestId)
        onHead(head)
        handler.onHead(head)
      },
      onData: chunk => {
        traffic.onBytes()
        handler.onData(chunk)
      },
      onEnd: () => {
        traffic.onExchangeEnded()
        this.options.onEnded?.(request)
        this.releaseConnection(connection, mustClose)
        handler.onEnd()
      },
      onFailure: failure => {
        traffic.onExchangeEnded()
        this.options.onEnded?.(request, failure)
        // Closing also removes the connection from `busy`, through `removeConnection`.
        connection.close()
        if (failure.kind === 'connect') traffic.onConnectFailed(upstreamId)
        // After a broken connection the idle ones are suspect too: something on the network path may have dropped them.
        // The same applies after a response that belongs to another request (`foreign-answer`).
        if (failure.kind === 'broken' || failure.kind === 'foreign-answer') this.closeIdle()
        handler.onFailure(failure.kind === 'connect' && connection.hasOpened ? { ...failure, wasOpen: true } : failure)
      }
    })
  }

  /** Closes the connections that no request uses. */
  closeIdle (): void {
    for (const connection of this.idle.splice(0)) connection.close()
  }

  /** Closes the pool; requests in progress still complete. */
  close (): void {
    this.closeIdle()
    this.isClosing = true
  }

  /** A second copy of a refusal would be taken for the answer if the request came again on the same connection. */
  private takeConnection (requestId: string | undefined): UpstreamConnection | undefined {
    const index = this.idle.findLastIndex(connection => {
      return connection.isUsable() && (requestId === undefined || !connection.hasRefused(requestId))
    })
    const [reused] = index < 0 ? [] : this.idle.splice(index, 1)
    if (reused !== undefined) {
      this.busy.add(reused)
      return reused
    }
    return this.openConnection()
  }

  /** Closes an idle connection when there is no room for another one. */
  private openUnsharedConnection (): UpstreamConnection | undefined {
    if (this.idle.length + this.busy.size >= this.options.getConnectionLimit()) this.idle[0]?.close()
    return this.openConnection()
  }

  private openConnection (): UpstreamConnection | undefined {
    if (this.busy.size >= this.options.getConnectionLimit()) return undefined
    const { address, decodeResponse, onOpened, connectTimeoutMs, idleTimeoutMs } = this.options
    const connection = new UpstreamConnection({
      address,
      decodeResponse,
      connectTimeoutMs: connectTimeoutMs ?? upstreamConstants.connectTimeoutMs,
      idleTimeoutMs: idleTimeoutMs ?? upstreamConstants.idleTimeoutMs,
      onClosed: closed => { this.removeConnection(closed) },
      onOpened
    })
    this.busy.add(connection)
    return connection
  }

  private releaseConnection (connection: UpstreamConnection, mustClose: boolean): void {
    this.busy.delete(connection)
    if (mustClose || this.isClosing) connection.close()
    else if (!connection.isClosed) this.idle.push(connection)
  }

  private removeConnection (connection: UpstreamConnection): void {
    this.busy.delete(connection)
    const index = this.idle.indexOf(connection)
    if (index >= 0) this.idle.splice(index, 1)
  }
}

/** Reports that nothing was sent, after the caller has its function to cancel. */
function refuseExchange (handler: ExchangeHandler, detail: string, isHeldBack = false): () => void {
  queueMicrotask(() => { handler.onFailure({ kind: 'no-connection', wasSent: false, detail, isHeldBack }) })
  return () => {}
}
