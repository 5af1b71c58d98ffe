/** Options of the model engine stand-in. */
export interface EngineOptions {
  /** Maximum number of streams that run at the same time. */
  readonly slots: number
  /** Duration of a decoding step, in which every running stream generates one token. */
  readonly stepMs: number
  /** Minimum time between two writes to a stream; the tokens generated in between are sent together. */
  readonly tickMs: number
  readonly prefillMsPer1kChars: number
  /** Capacity of the prefix cache in prompt characters. */
  readonly cacheChars: number
  /** Time after which a cache event becomes visible to readers. */
  readonly cacheEventDelayMs: number
  /** Age of load reports. */
  readonly reportLagMs: number
  /** Maximum number of waiting streams; further ones are refused with 429. */
  readonly queueLimit: number
  /** Models loaded at the start; if the list is empty, every model is served. */
  readonly models: readonly string[]
  /** Weight store from which the engine fetches the weights when it is ordered to load a model; without it a load takes `loadMs`. */
  readonly weightStoreUrl?: string
  readonly loadMs: number
}
