import { capacityConstants } from './constants.js'
import { countLeastTokens } from './countLeastTokens.js'
import type { EngineAdmission } from './engineAdmission.js'
import type { EnginePrompt } from '../engines/enginePrompt.js'
import type { ServiceCapacity } from './serviceCapacity.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface AdmissionOptions {
  readonly engines: readonly UpstreamState[]
  readonly capacity: ServiceCapacity
  readonly prompt: EnginePrompt
  readonly timeLeftMs: number
  readonly nowMs: number
}

/**
 * Refuses a request when no engine of its service can begin to answer it before its deadline, so that its stages do not
 * run for nothing. Load exceeds the engines by a factor of two for some seconds, and a queue then takes longer to drain
 * than clients wait. An engine whose wait is unknown counts as free: a request that could be served is not refused.
 * Refused requests leave no samples, so waits become unknown within seconds and work is admitted again.
 */
export function admitByEngines ({ engines, capacity, prompt, timeLeftMs, nowMs }: AdmissionOptions): EngineAdmission {
  const leastTokens = countLeastTokens(prompt)
  let beginInMs = Infinity
  for (const { entry, inFlight } of engines) {
    const waitMs = capacity.findWaitMs(entry.id, nowMs)
    if (waitMs === undefined) return { isAdmitted: true }
    beginInMs = Math.min(beginInMs, waitMs + capacity.computeReadMs(entry.id, leastTokens, inFlight, nowMs))
    if (beginInMs <= timeLeftMs) return { isAdmitted: true }
  }
  if (engines.length === 0) return { isAdmitted: true }
  const { minRetryAfterMs, maxRetryAfterMs } = capacityConstants
  // The queue drains by a millisecond each millisecond, so a request with the same time fits in after the excess.
  const retryAfterMs = Math.min(Math.max(beginInMs - timeLeftMs, minRetryAfterMs), maxRetryAfterMs)
  return { isAdmitted: false, beginInMs, retryAfterMs }
}
