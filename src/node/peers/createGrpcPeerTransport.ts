import type { GrpcPeerTransportOptions } from './grpcPeerTransportOptions.js'
import type { PeerSessions } from '../../types/peerSessions.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { GrpcPeerTransport } from './grpcPeerTransport.js'

interface RunningPeerTransport extends PeerTransport, PeerSessions {
  /** Starts listening on `ip:port` and resolves to the bound port. */
  start (listenAddress: string): Promise<number>
  stop (): Promise<void>
  /** Replaces the secret for new calls and sessions; the last ones before it are still accepted. */
  setSecret (secret: string): void
}

/** Creates a `PeerTransport` that calls other entry hosts over gRPC. */
export function createGrpcPeerTransport (options: GrpcPeerTransportOptions): RunningPeerTransport {
  return new GrpcPeerTransport(options)
}
