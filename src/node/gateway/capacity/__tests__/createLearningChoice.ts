import { EngineCapacities } from '../engineCapacities.js'
import { EnginePlanner } from '../../engines/enginePlanner.js'
import type { HostChoice } from './hostChoice.js'
import type { UpstreamState } from '../../upstreams/upstreamState.js'

/** Creates the choice of a host that learns from its own requests. Without learning, all engines count as equally fast. */
export function createLearningChoice (
  states: readonly UpstreamState[],
  isLearning = true,
  capacities = new EngineCapacities()
): HostChoice {
  const planner = new EnginePlanner(() => states, capacities)
  const service = capacities.getService('llm')
  return {
    choose: ({ tokens, sharedPart, sharedTokens, atMs }, nowMs) => planner.placeRequest({
      service: 'llm',
      prompt: {
        tokens,
        parts: sharedPart === '' ? [] : [{ id: sharedPart, tokens: sharedTokens }, { id: `own-${atMs}`, tokens: tokens - sharedTokens }]
      },
      inputs: { domain: '', bytes: 0 },
      excludedIds: new Set()
    }, nowMs),
    onSent: (request, sample, nowMs) => { if (isLearning) service.addWaiting(request, sample, nowMs) },
    onFirstEvent: (request, sample, nowMs) => {
      if (!isLearning) return
      service.removeWaiting(request, sample.engineId, true, nowMs)
      service.observeFirstEvent(sample, nowMs)
    },
    onEnd: (sample, nowMs) => { if (isLearning) service.observePace(sample, nowMs) }
  }
}
