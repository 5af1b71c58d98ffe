import { storeConstants } from './constants.js'

/**
 * Computes by which factor a large fleet stretches its intervals of calls to the store: 1 up to `usualHosts`. Every host
 * is woken by the changes of all others, and all of them retry in an outage, so calls at fixed intervals grow with the
 * number of hosts at least. With the square root, each host calls less often, and delays grow slowly.
 */
export function computeFleetFactor (hostCount: number): number {
  return Math.sqrt(Math.max(hostCount / storeConstants.usualHosts, 1))
}
