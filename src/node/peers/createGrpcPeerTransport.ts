import { systemClock } from '../../shared/systemClock.js'
import type { Clock } from '../../types/clock.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { GrpcPeerTransport } from './grpcPeerTransport.js'

interface GrpcPeerTransportOptions {
  readonly hostId: string
  /** Secret shared by all hosts; it is never sent. */
  readonly secret: string
  readonly metrics: Metrics
  /** @default systemClock */
  readonly clock?: Clock
}

interface RunningPeerTransport extends PeerTransport {
  /** Listens on `ip:port`; resolves to the bound port. */
  start (listenAddress: string): Promise<number>
  stop (): Promise<void>
}

/** Calls between entry hosts over gRPC; see `PeerTransport` for the errors. */
export function createGrpcPeerTransport (options: GrpcPeerTransportOptions): RunningPeerTransport {
  return new GrpcPeerTransport(options.hostId, options.secret, options.clock ?? systemClock, options.metrics)
}
