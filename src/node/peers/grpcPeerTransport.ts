import { createServer } from 'node:net'
import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { AddressInfo } from 'node:net'
import type { GrpcPeerTransportOptions } from './grpcPeerTransportOptions.js'
import type { PeerMethod } from '../../types/peerMethod.js'
import type { PeerSession } from '../../types/peerSession.js'
import type { PeerSessionHandler } from '../../types/peerSessionHandler.js'
import type { PeerSessions } from '../../types/peerSessions.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { openListener } from '../listeners/openListener.js'
import { parseListenAddress } from '../listeners/parseListenAddress.js'
import { PeerUnavailableError } from '../../shared/peerUnavailableError.js'
import { peerConstants } from './constants.js'
import { PeerAuthenticator } from './peerAuthenticator.js'
import { PeerCaller } from './peerCaller.js'
import { PeerChannels } from './peerChannels.js'
import { PeerReceiver } from './peerReceiver.js'
import { PeerTrafficCounter } from './peerTrafficCounter.js'
import { systemClock } from '../../shared/systemClock.js'

/** `PeerTransport` and `PeerSessions` over gRPC without TLS; hosts authenticate each other with a shared secret. */
export class GrpcPeerTransport implements PeerTransport, PeerSessions {
  private readonly server = new Server({
    'grpc.keepalive_time_ms': peerConstants.serverKeepaliveMs,
    'grpc.keepalive_timeout_ms': peerConstants.serverKeepaliveTimeoutMs,
    'grpc.max_receive_message_length': peerConstants.maxMessageBytes
  })

  // A gRPC server listens on an address once: it keeps the result of its first attempt, also when that has failed.
  private readonly listener = createServer({ noDelay: true }, socket => { this.connections.injectConnection(socket) })
  private readonly connections = this.server.createConnectionInjector(ServerCredentials.createInsecure())
  private readonly channels = new PeerChannels()
  private readonly caller: PeerCaller
  private readonly receiver: PeerReceiver
  private readonly authenticator: PeerAuthenticator

  constructor ({ hostId, secret, metrics, maxConnections = Infinity, clock = systemClock }: GrpcPeerTransportOptions) {
    this.listener.maxConnections = maxConnections
    this.listener.on('drop', () => { metrics.addCount('peer_connections_refused', {}) })
    this.authenticator = new PeerAuthenticator(hostId, secret, clock)
    const traffic = new PeerTrafficCounter(metrics)
    this.caller = new PeerCaller(this.channels, this.authenticator, traffic)
    this.receiver = new PeerReceiver(this.server, this.authenticator, traffic)
  }

  /** Replaces the secret for new calls and sessions; the last ones before it are still accepted. */
  setSecret (secret: string): void {
    this.authenticator.setSecret(secret)
  }

  /**
   * Starts listening on `listenAddress` (`ip:port`) and resolves to the bound port. Rejects with `PeerUnavailableError`,
   * after which it may be called again.
   */
  async start (listenAddress: string): Promise<number> {
    try {
      await openListener(this.listener, parseListenAddress(listenAddress))
    } catch (error) {
      throw new PeerUnavailableError(`cannot listen on ${listenAddress}`, { cause: error })
    }
    return (this.listener.address() as AddressInfo).port
  }

  /** Aborts the calls in progress and closes all connections. */
  async stop (): Promise<void> {
    this.listener.close()
    this.server.forceShutdown()
    this.channels.closeAll()
  }

  async send<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, timeoutMs: number): Promise<Response> {
    return await this.caller.send(peerAddress, method, request, timeoutMs)
  }

  openStream<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, silenceMs: number, signal: AbortSignal): AsyncIterable<Response> {
    return this.caller.openStream(peerAddress, method, request, silenceMs, signal)
  }

  handle<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string) => Promise<Response> | Response): void {
    this.receiver.handle(method, handler)
  }

  handleStream<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string, signal: AbortSignal) => AsyncIterable<Response>): void {
    this.receiver.handleStream(method, handler)
  }

  openSession<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, connectMs: number, handler: PeerSessionHandler<Response>): PeerSession<Request> {
    return this.caller.openSession(peerAddress, method, connectMs, handler)
  }

  handleSession<Request, Response> (method: PeerMethod<Request, Response>, accept: (session: PeerSession<Response>, peerId: string) => PeerSessionHandler<Request>): void {
    this.receiver.handleSession(method, accept)
  }
}
