/** Options of a model engine. */
export interface EngineOptions {
  /** Streams that run at the same time. */
  readonly slots: number
  /** Time in which every running stream gains one token. */
  readonly stepMs: number
  /** Shortest time between two writes of a stream; tokens that fall due in between go out together. */
  readonly tickMs: number
  readonly prefillMsPer1kChars: number
  /** Size of the prefix cache in prompt characters. */
  readonly cacheChars: number
  readonly cacheEventDelayMs: number
  readonly reportLagMs: number
  /** Waiting streams beyond which new ones are refused with 429. */
  readonly queueLimit: number
  /** Models that are loaded at the start; all models are served when the list is empty. */
  readonly models: readonly string[]
  /** Weight store that a load order fetches from; without it a load takes `loadMs`. */
  readonly weightStoreUrl?: string
  readonly loadMs: number
}
