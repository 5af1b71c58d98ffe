import { ingressConstants } from './constants.js'
import { isLaterTry } from './isLaterTry.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { Route } from '../model/route.js'

/**
 * Time left to meet the route's latency target, which counts from the client's first attempt. A retry does not state
 * when that was, so the time since then is estimated from the mean client timeout. A request that resumes a stream has
 * the target of a new one, since its client has waited for the rest only since the stream broke off.
 */
export function computeTargetLeftMs (
  route: Pick<Route, 'timeoutMs' | 'latencyAimMs'>,
  request: Pick<ClientRequest, 'timeLeftMs' | 'resumedId'>
): number {
  const { timeoutMs, latencyAimMs } = route
  const { timeLeftMs, resumedId } = request
  if (timeLeftMs === undefined || !isLaterTry(route, request)) return latencyAimMs
  if (resumedId !== undefined) return Math.min(latencyAimMs, timeLeftMs)
  return latencyAimMs - (timeoutMs * ingressConstants.meanClientTimeoutShare - timeLeftMs)
}
