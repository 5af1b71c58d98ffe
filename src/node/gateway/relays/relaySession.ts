import { peerMethods } from '../../peers/peerMethods.js'
import { relayConstants } from './constants.js'
import { relayHeadCodec } from './relayHeadCodec.js'
import type { CancelExchange } from '../upstreams/cancelExchange.js'
import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { ExchangeHandler } from '../upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../upstreams/exchangeRequest.js'
import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { PeerSession } from '../../../types/peerSession.js'
import type { PeerSessions } from '../../../types/peerSessions.js'

interface SessionOptions {
  readonly sessions: PeerSessions
  readonly hostId: string
  readonly address: string
  /** The host relays nothing more, because it says so or was lost. Called once. */
  readonly onUnusable: (reason: string) => void
}

interface RelayedExchange {
  readonly handler: ExchangeHandler
  readonly onDeclined: (reason: string) => void
}

const failureKinds: ReadonlyArray<ExchangeFailure['kind']> =
  ['connect', 'broken', 'foreign-answer', 'aborted', 'no-connection']

/** Session with a host that sends this host's requests to upstreams. All exchanges share it. */
export class RelaySession {
  /** Whether the host has said that it relays. */
  isReady = false
  /** Whether the session closes with its last exchange. */
  private isDraining = false
  private isClosed = false
  private nextExchangeId = 1
  private readonly exchanges = new Map<number, RelayedExchange>()
  private readonly session: PeerSession<messages.IRelayOrder>

  constructor (private readonly options: SessionOptions) {
    const { sessions, address } = options
    this.session = sessions.openSession(address, peerMethods.relayExchanges, relayConstants.sessionConnectMs, {
      onMessage: report => { this.onReport(report) },
      onClosed: reason => { this.onClosed(reason) }
    })
  }

  get hostId (): string {
    return this.options.hostId
  }

  get exchangeCount (): number {
    return this.exchanges.size
  }

  /** Sends a request; the returned function cancels it. `onDeclined` is called when the host has sent nothing. */
  send (upstreamId: string, request: ExchangeRequest, exchange: RelayedExchange): CancelExchange {
    const exchangeId = this.nextExchangeId++
    this.exchanges.set(exchangeId, exchange)
    const { method, path, headers, requestId } = request
    const body = typeof request.body === 'string' ? Buffer.from(request.body) : request.body
    this.session.send({ exchange: { exchangeId, upstreamId, method, path, headers, body, requestId } })
    return protocolError => {
      if (!this.exchanges.has(exchangeId)) return
      this.session.send({ cancelledExchangeId: exchangeId })
      this.endExchange(exchangeId, () => {
        const detail = protocolError ?? 'cancelled by the caller'
        const isProtocolError = protocolError !== undefined
        exchange.handler.onFailure({ kind: 'aborted', wasSent: true, detail, isProtocolError })
      })
    }
  }

  /** Closes the session once its exchanges have ended. */
  drain (reason: string): void {
    if (this.isDraining || this.isClosed) return
    this.isDraining = true
    this.isReady = false
    this.options.onUnusable(reason)
    this.closeIfIdle()
  }

  close (reason: string): void {
    if (this.isClosed) return
    this.session.close()
    this.onClosed(reason)
  }

  private closeIfIdle (): void {
    if (this.isDraining && this.exchanges.size === 0) this.close('no longer needed')
  }

  private onReport ({ exchangeId, head, data, isComplete, failure, declinedReason }: messages.IRelayReport): void {
    if (!exchangeId) {
      if (declinedReason) this.drain(declinedReason)
      else this.isReady = !this.isDraining
      return
    }
    const exchange = this.exchanges.get(exchangeId)
    if (exchange === undefined) return
    if (declinedReason) return this.endExchange(exchangeId, () => { exchange.onDeclined(declinedReason) })
    if (head) {
      const decoded = relayHeadCodec.decode(Buffer.from(head))
      if (decoded === undefined) {
        return this.endExchange(exchangeId, () => { this.endLost(exchange, 'head of the response not readable') })
      }
      exchange.handler.onHead(decoded)
    }
    if (data && data.length > 0) exchange.handler.onData(Buffer.from(data.buffer, data.byteOffset, data.length))
    if (isComplete) this.endExchange(exchangeId, () => { exchange.handler.onEnd() })
    else if (failure) this.endExchange(exchangeId, () => { exchange.handler.onFailure(decodeFailure(failure)) })
  }

  private endExchange (exchangeId: number, notify: () => void): void {
    this.exchanges.delete(exchangeId)
    notify()
    this.closeIfIdle()
  }

  private onClosed (reason: string): void {
    if (this.isClosed) return
    this.isClosed = true
    this.isReady = false
    for (const [exchangeId, exchange] of [...this.exchanges]) {
      this.endExchange(exchangeId, () => { this.endLost(exchange, reason) })
    }
    if (!this.isDraining) this.options.onUnusable(reason)
  }

  /** What happened at the upstream is not known. */
  private endLost ({ handler }: RelayedExchange, reason: string): void {
    handler.onFailure({ kind: 'relay-lost', wasSent: true, detail: `relay by ${this.hostId}: ${reason}` })
  }
}

function decodeFailure (failure: messages.IRelayFailure): ExchangeFailure {
  const { kind, detail, wasSent, hasUpstreamEnded, isProtocolError } = failure
  const knownKind = failureKinds.find(known => known === kind)
  return {
    kind: knownKind ?? 'broken',
    detail: detail ?? '',
    // After a failure of a kind that this version does not know, the request may have been sent.
    wasSent: wasSent === true || knownKind === undefined,
    hasUpstreamEnded: hasUpstreamEnded ?? false,
    isProtocolError: isProtocolError ?? false
  }
}
