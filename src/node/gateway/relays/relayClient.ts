import { setTimeout as delay } from 'node:timers/promises'
import { chooseRelayHosts } from './chooseRelayHosts.js'
import { relayConstants } from './constants.js'
import { RelaySession } from './relaySession.js'
import type { CancelExchange } from '../upstreams/cancelExchange.js'
import type { Clock } from '../../../types/clock.js'
import type { ExchangeHandler } from '../upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../upstreams/exchangeRequest.js'
import type { ExchangeSender } from '../upstreams/exchangeSender.js'
import type { HostDirectory } from '../hosts/hostDirectory.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { PeerSessions } from '../../../types/peerSessions.js'
import type { Random } from '../../../types/random.js'

interface ClientOptions {
  readonly hosts: HostDirectory
  readonly sessions: PeerSessions
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Sends requests to upstreams by way of a few other hosts while this host is cut off from the upstreams. Each request
 * goes to one host; another one gets it only when the first has sent nothing.
 */
export class RelayClient {
  private readonly sessions = new Map<string, RelaySession>()
  private readonly avoidedUntilMs = new Map<string, number>()
  private replaceTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: ClientOptions) {}

  /** Opens sessions with hosts that relay, and replaces those that are lost. */
  start (): void {
    if (this.replaceTimer !== undefined) return
    this.openSessions()
    this.replaceTimer = setInterval(() => { this.openSessions() }, relayConstants.replaceIntervalMs)
    this.replaceTimer.unref()
  }

  /** Sends nothing more by way of other hosts; the exchanges in progress end. */
  drain (): void {
    clearInterval(this.replaceTimer)
    this.replaceTimer = undefined
    for (const session of [...this.sessions.values()]) session.drain('the upstreams are reached again')
  }

  /** Resolves when a host relays, or none does within the time to open a session. */
  async waitForHost (): Promise<void> {
    const { clock } = this.options
    const endMs = clock.readMonotonicMs() + relayConstants.sessionConnectMs
    while (this.findSession(new Set()) === undefined && clock.readMonotonicMs() < endMs) {
      await delay(relayConstants.hostPollMs)
    }
  }

  /** Way to an upstream; undefined while no host relays. */
  findSender (upstreamId: string): ExchangeSender | undefined {
    if (this.findSession(new Set()) === undefined) return undefined
    return (request, handler) => this.send(upstreamId, request, handler, new Set())
  }

  private send (
    upstreamId: string,
    request: ExchangeRequest,
    handler: ExchangeHandler,
    triedIds: Set<string>
  ): CancelExchange {
    const session = this.findSession(triedIds)
    if (session === undefined) {
      queueMicrotask(() => { handler.onFailure({ kind: 'relay-lost', wasSent: false, detail: 'no host relays' }) })
      return () => {}
    }
    triedIds.add(session.hostId)
    this.options.metrics.addCount('exchanges_relayed', {})
    handler.onRelayed?.(session.hostId)
    let cancel = session.send(upstreamId, request, {
      handler,
      onDeclined: () => { cancel = this.send(upstreamId, request, handler, triedIds) }
    })
    return protocolError => { cancel(protocolError) }
  }

  /** The session with the fewest requests in progress: one whose host has fallen silent collects them. */
  private findSession (triedIds: ReadonlySet<string>): RelaySession | undefined {
    let best: RelaySession | undefined
    for (const session of this.sessions.values()) {
      if (!session.isReady || triedIds.has(session.hostId)) continue
      if (best === undefined || session.exchangeCount < best.exchangeCount) best = session
    }
    return best
  }

  private openSessions (): void {
    const { hosts, clock, random } = this.options
    const nowMs = clock.readMonotonicMs()
    for (const [id, untilMs] of this.avoidedUntilMs) {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(id)
    }
    const missing = relayConstants.relayHosts - this.sessions.size
    if (missing <= 0) return
    const excludedIds = new Set([hosts.getSelf().id, ...this.sessions.keys(), ...this.avoidedUntilMs.keys()])
    const chosen = chooseRelayHosts({ hosts: hosts.listReady(), excludedIds, count: missing, random })
    for (const { id, peerAddress } of chosen) this.openSession(id, peerAddress)
  }

  private openSession (hostId: string, address: string): void {
    const { sessions, clock, logger } = this.options
    const session = new RelaySession({
      sessions,
      hostId,
      address,
      onUnusable: reason => {
        this.sessions.delete(hostId)
        const isOwnChoice = this.replaceTimer === undefined
        if (!isOwnChoice) this.avoidedUntilMs.set(hostId, clock.readMonotonicMs() + relayConstants.avoidHostMs)
        logger.recordInfo('relay closed', { peer: hostId, reason })
      }
    })
    this.sessions.set(hostId, session)
    logger.recordInfo('relay opened', { peer: hostId })
  }
}
