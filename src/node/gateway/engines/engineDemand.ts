import type { EnginePrompt } from './enginePrompt.js'

/** A request for which an engine is to be chosen. */
export interface EngineDemand {
  readonly service: string
  readonly prompt: EnginePrompt
  /** Failure domain and size of the stage results; the domain is empty when there are none. */
  readonly inputs: { readonly domain: string, readonly bytes: number }
  /** Engines that the request was sent to before; chosen only when there is no other. */
  readonly excludedIds: ReadonlySet<string>
  /** Software version that the engine must have; undefined for any. */
  readonly version?: string
}
