/** One request of a simulated day. */
export interface SimulatedRequest {
  readonly atMs: number
  readonly hostIndex: number
  readonly tokens: number
  readonly events: number
  /** Part at the start of the prompt that other requests share; empty for none. */
  readonly sharedPart: string
  readonly sharedTokens: number
  /** Number that stays the same over all tries of the request. */
  readonly index: number
  /** Tries before this one, which were refused. */
  readonly refusals: number
  readonly firstAtMs: number
}
