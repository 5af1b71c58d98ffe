import { ingressConstants } from './constants.js'
import type { ClientExchange } from './clientExchange.js'

/**
 * Monotonic time at which a request counts as arrived. The earliest possible time may lie far before the real one while
 * connections are accepted without a gap, so only a share of the client's time may have passed in the queue.
 */
export function computeArrivalMs (
  { arrivedAtMs, receivedAtMs }: Pick<ClientExchange, 'arrivedAtMs' | 'receivedAtMs'>,
  clientTimeMs: number
): number {
  return Math.max(arrivedAtMs, receivedAtMs - clientTimeMs * ingressConstants.maxQueuedShare)
}
