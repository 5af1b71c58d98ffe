import { requestConstants } from './constants.js'

/**
 * Number of hosts that the callers of an account are told: two survive the loss of one, and large accounts
 * are spread over more.
 */
export function computeRouteHostCount (requestsPerSecond: number): number {
  return requestConstants.minRouteHosts + Math.ceil(requestsPerSecond / requestConstants.requestsPerSecondPerRouteHost)
}
