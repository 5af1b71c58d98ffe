import { computeHeadMemory } from '../memory/computeHeadMemory.js'
import { peerMethods } from '../../peers/peerMethods.js'
import { relayConstants } from './constants.js'
import { relayHeadCodec } from './relayHeadCodec.js'
import type { AnswerMemory } from '../answers/answerMemory.js'
import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { ExchangeFlow } from '../upstreams/exchangeFlow.js'
import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { PeerSession } from '../../../types/peerSession.js'
import type { PeerSessionHandler } from '../../../types/peerSessionHandler.js'
import type { PeerSessions } from '../../../types/peerSessions.js'
import type { RequestMemory } from '../memory/requestMemory.js'
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

interface ServerOptions {
  readonly sessions: PeerSessions
  readonly upstreams: UpstreamDirectory
  readonly answerMemory: AnswerMemory
  readonly requestMemory: RequestMemory
  /** Whether this host is cut off from the upstreams itself. */
  readonly isCutOff: () => boolean
  /** Checks whether the process of an upstream has ended. */
  readonly checkEnded: (upstream: UpstreamEntry) => Promise<boolean>
  readonly logger: Logger
  readonly metrics: Metrics
}

type ReportSession = PeerSession<messages.IRelayReport>

/**
 * Sends the requests of hosts that are cut off from the upstreams, over this host's own connections: never by way of a
 * third host. What upstreams ask for in their answers therefore counts for this host as well.
 */
export class RelayServer {
  private readonly openSessions = new Set<ReportSession>()
  private relayedCount = 0
  private isDraining = false
  private resolveIdle = (): void => {}

  constructor (private readonly options: ServerOptions) {}

  start (): void {
    const { sessions } = this.options
    sessions.handleSession(peerMethods.relayExchanges, (session, peerId) => this.createHandler(session, peerId))
  }

  /** Relays nothing more; resolves when the exchanges in progress have ended. */
  async drain (): Promise<void> {
    this.isDraining = true
    this.sendDeclines()
    if (this.relayedCount > 0) await new Promise<void>(resolve => { this.resolveIdle = resolve })
  }

  /** Tells the hosts that this one does not relay now, for example because it is cut off itself. */
  sendDeclines (): void {
    const declinedReason = this.findDeclineReason()
    if (declinedReason === undefined) return
    for (const session of this.openSessions) session.send({ declinedReason })
  }

  private findDeclineReason (): string | undefined {
    if (this.isDraining) return 'the host stops'
    return this.options.isCutOff() ? 'the host is cut off itself' : undefined
  }

  private createHandler (session: ReportSession, peerId: string): PeerSessionHandler<messages.IRelayOrder> {
    const { logger } = this.options
    const cancels = new Map<number, () => void>()
    const declinedReason = this.findDeclineReason()
    session.send({ declinedReason })
    if (declinedReason === undefined) {
      this.openSessions.add(session)
      logger.recordInfo('relaying for a host', { peer: peerId })
    }
    return {
      onMessage: ({ exchange, cancelledExchangeId }) => {
        if (cancelledExchangeId) cancels.get(cancelledExchangeId)?.()
        if (exchange != null) this.sendExchange(exchange, session, cancels, peerId)
      },
      onClosed: reason => {
        this.openSessions.delete(session)
        logger.recordInfo('relaying ended', { peer: peerId, reason, cancelled: cancels.size })
        for (const cancel of [...cancels.values()]) cancel()
      }
    }
  }

  private sendExchange (
    exchange: messages.IRelayExchange,
    session: ReportSession,
    cancels: Map<number, () => void>,
    peerId: string
  ): void {
    const { upstreams, answerMemory, requestMemory, metrics } = this.options
    const exchangeId = exchange.exchangeId ?? 0
    const state = upstreams.find(exchange.upstreamId ?? '')
    const sendDecline = (declinedReason: string): void => {
      metrics.addCount('relayed_exchanges', { outcome: 'declined' })
      session.send({ exchangeId, declinedReason })
    }
    const ownReason = this.findDeclineReason()
    if (ownReason !== undefined) return sendDecline(ownReason)
    if (this.relayedCount >= relayConstants.maxRelayed) return sendDecline('too many requests are relayed')
    if (state === undefined || !upstreams.isOpen(state)) return sendDecline('the upstream takes no requests')
    const headers = exchange.headers ?? []
    const body = decodeBody(exchange.body)
    const request = requestMemory.admit(`host ${peerId}`, computeHeadMemory(exchange.path ?? '', headers), session)
    if (request?.admitBody(body?.length ?? 0) !== true) {
      request?.release()
      return sendDecline('the memory for requests is used up')
    }
    this.relayedCount++
    state.inFlight++
    const end = (outcome: string, report?: messages.IRelayReport): void => {
      if (!cancels.delete(exchangeId)) return
      this.relayedCount--
      state.inFlight--
      answerMemory.remove(held)
      request.release()
      metrics.addCount('relayed_exchanges', { outcome })
      if (report !== undefined) session.send(report)
      if (this.relayedCount === 0) this.resolveIdle()
    }
    let hasHead = false
    let unsentBytes = 0
    let flow: ExchangeFlow | undefined
    let isPaused = false
    const onSent = (bytes: number): void => {
      unsentBytes -= bytes
      if (!isPaused || unsentBytes > relayConstants.maxUnsentBytes) return
      isPaused = false
      // Messages may be sent while an answer is parsed.
      setImmediate(() => { if (cancels.has(exchangeId)) flow?.resume() })
    }
    const held = {
      upstreamId: state.entry.id,
      countBytes: () => unsentBytes,
      onEvicted: () => {
        const detail = 'the memory for answers is used up'
        end('evicted', { exchangeId, failure: { kind: 'broken', detail, wasSent: true, hasUpstreamEnded: false } })
        cancelExchange()
      }
    }
    cancels.set(exchangeId, () => { end('cancelled') })
    // Without an id, a copy of an earlier answer to another host cannot be told from the answer.
    const isUnshared = !exchange.requestId
    const cancelExchange = state.pool.sendDirectly({
      method: exchange.method ?? 'GET',
      path: exchange.path ?? '/',
      headers,
      body,
      requestId: exchange.requestId ? exchange.requestId : undefined
    }, {
      onStarted: started => { flow = started },
      onHead: head => {
        hasHead = true
        session.send({ exchangeId, head: relayHeadCodec.encode(head).toString('utf8') })
      },
      onData: data => {
        unsentBytes += data.length
        session.send({ exchangeId, data }, () => { onSent(data.length) })
        if (!cancels.has(exchangeId)) return
        answerMemory.update(held, unsentBytes)
        if (unsentBytes <= relayConstants.maxUnsentBytes) return
        isPaused = true
        flow?.pause()
      },
      onEnd: () => { end('complete', { exchangeId, isComplete: true }) },
      onFailure: failure => {
        this.describeFailure(state.entry, failure, hasHead).then(
          report => { end('failed', { exchangeId, failure: report }) },
          // What is missing is only whether the upstream has ended.
          () => { end('failed', { exchangeId, failure }) }
        )
      }
    }, isUnshared)
    if (!cancels.has(exchangeId)) return
    cancels.set(exchangeId, () => {
      end('cancelled')
      cancelExchange()
    })
  }

  /** The host that is cut off cannot find out by itself whether the upstream has ended. */
  private async describeFailure (
    upstream: UpstreamEntry,
    { kind, detail, wasSent, isProtocolError }: ExchangeFailure,
    hasHead: boolean
  ): Promise<messages.IRelayFailure> {
    const mustCheck = kind === 'broken' && !hasHead
    const hasUpstreamEnded = mustCheck && await this.options.checkEnded(upstream)
    return { kind, detail, wasSent, hasUpstreamEnded, isProtocolError }
  }
}

function decodeBody (body: Uint8Array | null | undefined): Buffer | undefined {
  return body == null || body.length === 0 ? undefined : Buffer.from(body.buffer, body.byteOffset, body.length)
}
