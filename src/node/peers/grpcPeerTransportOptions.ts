import type { Clock } from '../../types/clock.js'
import type { Metrics } from '../../types/metrics.js'

export interface GrpcPeerTransportOptions {
  readonly hostId: string
  /** Secret shared by all hosts; never sent over the network. */
  readonly secret: string
  readonly metrics: Metrics
  /**
   * Connections of other hosts beyond this number are closed at once.
   * @default Infinity
   */
  readonly maxConnections?: number
  /** @default systemClock */
  readonly clock?: Clock
}
