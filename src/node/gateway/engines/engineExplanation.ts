import type { EngineCost } from './engineCost.js'

/** The engine that would be chosen for a request, and what the choice is based on. */
export interface EngineExplanation {
  /** Undefined without a usable engine. */
  readonly chosenId: string | undefined
  /** Costs at all engines that the request may be placed on, by engine id. */
  readonly costs: ReadonlyMap<string, EngineCost>
}
