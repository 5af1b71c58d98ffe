import type { EnginePrompt } from './enginePrompt.js'

/** A request that needs an engine. */
export interface EngineDemand {
  readonly service: string
  readonly prompt: EnginePrompt
  /** Where the results of its stages lie, and their size; the domain is empty when there are none. */
  readonly inputs: { readonly domain: string, readonly bytes: number }
  /** Engines that the request was sent to before; taken only when there is no other. */
  readonly excludedIds: ReadonlySet<string>
}
