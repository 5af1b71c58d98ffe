import type { EnginePlacement } from '../../engines/enginePlacement.js'
import type { FirstEventSample } from '../firstEventSample.js'
import type { PaceSample } from '../paceSample.js'
import type { SimulatedRequest } from './simulatedRequest.js'

/** How one simulated host chooses engines, and what it observes of them. */
export interface HostChoice {
  /** Chooses an engine, or refuses the request until a time after which it comes again. */
  readonly choose: (
    request: SimulatedRequest,
    nowMs: number
  ) => EnginePlacement | { readonly retryAfterMs: number } | undefined
  readonly onSent: (request: SimulatedRequest, sample: Omit<FirstEventSample, 'elapsedMs'>, nowMs: number) => void
  readonly onFirstEvent: (request: SimulatedRequest, sample: FirstEventSample, nowMs: number) => void
  readonly onEnd: (sample: PaceSample, nowMs: number) => void
}
