/** The model engines of a simulated deployment. */
export interface EngineServiceModel {
  readonly name: string
  /** Upstreams in each failure domain. */
  readonly upstreams: Readonly<Record<string, number>>
  /** Maximum number of requests in the batch. */
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
