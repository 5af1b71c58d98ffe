import { ingressConstants } from './constants.js'
import type { Route } from '../model/route.js'

/**
 * Time without a complete event after which a stream counts as stalled. Bytes that complete no event are no progress,
 * and a slow pace is no stall: busy neighbours slow an engine to several times the pause that the route aims at. A
 * stream that can be resumed continues elsewhere before its client gives up; any other ends when the client no longer
 * waits for it.
 */
export function computeStallTimeoutMs (
  { latencyAimMs, pauseAimMs }: Pick<Route, 'latencyAimMs' | 'pauseAimMs'>,
  isResumable: boolean
): number {
  const { minStallMs, stallPauseFactor, patienceAimFactor } = ingressConstants
  const slowestPauseMs = Math.max(minStallMs, pauseAimMs * stallPauseFactor)
  const patienceMs = Math.max(slowestPauseMs, latencyAimMs * patienceAimFactor)
  return isResumable && pauseAimMs > 0 ? slowestPauseMs : patienceMs
}
