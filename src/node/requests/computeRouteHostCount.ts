import { requestConstants } from './constants.js'

/**
 * Computes the number of hosts that route answers contain for an account: at least two, so that callers can lose
 * one, and more with a higher request rate, so that the load of large accounts is spread.
 */
export function computeRouteHostCount (requestsPerSecond: number): number {
  return requestConstants.minRouteHosts + Math.ceil(requestsPerSecond / requestConstants.requestsPerSecondPerRouteHost)
}
