import { storeConstants } from '../store/constants.js'

/**
 * Computes the pause before the next attempt to write a host's entry. In an outage of the store, calls that are refused at
 * once are charged for, too: a large fleet doubles the pause with each failed attempt, up to the usual largest one.
 */
export function computeRegistrationPause (failureCount: number, hostCount: number): number {
  const { retryMs, maxRetryMs, usualHosts } = storeConstants
  if (hostCount <= usualHosts) return retryMs
  return Math.min(retryMs * 2 ** failureCount, maxRetryMs)
}
