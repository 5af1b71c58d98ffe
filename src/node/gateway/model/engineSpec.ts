/** Capacity of one model engine. */
export interface EngineSpec {
  /** Requests that run in one batch. */
  readonly slots: number
  readonly cacheTokens: number
}
