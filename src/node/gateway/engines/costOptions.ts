import type { EngineLoads } from './engineLoads.js'
import type { EnginePrompt } from './enginePrompt.js'
import type { HomeMargin } from './homeMargin.js'
import type { ServiceCapacity } from '../capacity/serviceCapacity.js'

/** What the cost of a request at an engine depends on, besides the engine. */
export interface CostOptions {
  /** Tokens of the prompt that are expected in an engine's cache. */
  readonly countCachedTokens: (engineId: string) => number
  /** Undefined for a prompt without parts. */
  readonly homeMargin: HomeMargin | undefined
  readonly loads: EngineLoads
  /** What was learned of the speed of the service's engines. */
  readonly capacity: ServiceCapacity
  readonly prompt: EnginePrompt
  /** Failure domain that holds the stage results; empty when there are none. */
  readonly inputDomain: string
  /** Size of the stage results. */
  readonly inputBytes: number
  readonly nowMs: number
}
