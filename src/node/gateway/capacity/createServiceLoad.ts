import type { ServiceCapacity } from './serviceCapacity.js'
import type { ServiceLoad } from './serviceLoad.js'

/** Creates the view of all engines of a service at one time; nothing is computed before it is asked for. */
export function createServiceLoad (capacity: ServiceCapacity, nowMs: number): ServiceLoad {
  return {
    computeWaitMs: meanTokens => capacity.computeServiceWaitMs(meanTokens, nowMs),
    computeReadMs: tokens => capacity.computeServiceReadMs(tokens, nowMs)
  }
}
