import { storeConstants } from './constants.js'

/** Time after a restore until an item that nobody keeps has ended, or an owner that lives has written it again. */
export function computeHoldMs (heartbeatMs: number): number {
  const { heartbeatsUntilGone, leaseMs, returnMs } = storeConstants
  return Math.max(heartbeatMs * heartbeatsUntilGone, leaseMs) + returnMs
}
