import { ingressConstants } from './constants.js'
import type { Route } from '../model/route.js'

/**
 * Time until an answer is no longer on time. The aim counts from the client's first attempt, which a later attempt
 * does not state; it shows only in a time left that is shorter than any client's first one.
 */
export function computeAimLeftMs (route: Pick<Route, 'timeoutMs' | 'latencyAimMs'>, timeLeftMs: number | undefined): number {
  const { minClientTimeoutShare: shortestPatienceShare, meanClientTimeoutShare: usualPatienceShare } = ingressConstants
  if (timeLeftMs === undefined || timeLeftMs >= route.timeoutMs * shortestPatienceShare) return route.latencyAimMs
  return route.latencyAimMs - (route.timeoutMs * usualPatienceShare - timeLeftMs)
}
