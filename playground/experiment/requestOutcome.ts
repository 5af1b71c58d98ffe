import type { SimulatedRequest } from './simulatedRequest.js'

/** How a simulated request ended. */
export interface RequestOutcome {
  readonly request: SimulatedRequest
  readonly type: 'on-time' | 'late' | 'refused' | 'failed'
  /** Time to the first event, from the first attempt; undefined when there was none. */
  readonly firstEventMs?: number
  /** Time that the stages of the last attempt took. */
  readonly stagesMs?: number
  readonly refusals: number
}
