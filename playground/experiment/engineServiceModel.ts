/** The model engines of an experiment. */
export interface EngineServiceModel {
  readonly name: string
  readonly upstreams: Readonly<Record<string, number>>
  /** Requests in one batch. */
  readonly slots: number
  readonly prefillTokensPerMs: number
  /** Time from the end of prefill to the first event. */
  readonly firstEventMs: number
  readonly stepMs: number
  /** Time that each request in the batch adds to a step. */
  readonly stepMsPerRequest: number
  readonly tokensPerEvent: number
  readonly cacheTokens: number
}
