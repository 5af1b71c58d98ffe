import { computeFleetFactor } from './computeFleetFactor.js'
import { storeConstants } from './constants.js'
import type { HostTimings } from '../model/hostTimings.js'
import type { WatchTimes } from './watchTimes.js'

/**
 * Computes the wait and the pause of the watch from the bounds of the deployment: every host is woken by the changes of all
 * others, so the number of calls to the store grows with the square of the fleet unless changes are collected. A large
 * fleet collects them for longer and retries less often, within the same bounds.
 */
export function computeWatchTimes (
  { drainMs, configurationMs, evacuationMs = Infinity, faultGraceMs }: HostTimings,
  hostCount: number
): WatchTimes {
  const { watchGraceMs, minWatchWaitMs, coalesceShare, maxCoalesceShare, maxRetryMs, maxFleetRetryMs } = storeConstants
  const factor = computeFleetFactor(hostCount)
  return {
    waitMs: Math.max(faultGraceMs - watchGraceMs, minWatchWaitMs),
    coalesceMs: Math.min(drainMs, configurationMs, evacuationMs) * Math.min(coalesceShare * factor, maxCoalesceShare),
    maxRetryMs: Math.min(maxRetryMs * factor, maxFleetRetryMs)
  }
}
