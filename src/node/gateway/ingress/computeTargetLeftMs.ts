import { ingressConstants } from './constants.js'
import type { Route } from '../model/route.js'

/**
 * Time left to meet the route's latency target, which counts from the client's first attempt. A retry does not state when
 * that was. It is recognized by a time left that is shorter than on any first attempt, and the time since then is
 * estimated from the mean client timeout.
 */
export function computeTargetLeftMs (route: Pick<Route, 'timeoutMs' | 'latencyAimMs'>, timeLeftMs: number | undefined): number {
  const { minClientTimeoutShare, meanClientTimeoutShare } = ingressConstants
  if (timeLeftMs === undefined || timeLeftMs >= route.timeoutMs * minClientTimeoutShare) return route.latencyAimMs
  return route.latencyAimMs - (route.timeoutMs * meanClientTimeoutShare - timeLeftMs)
}
