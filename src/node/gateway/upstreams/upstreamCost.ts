/** Expected duration of a request at one upstream of a plain service, and the factors of its cost. */
export interface UpstreamCost {
  readonly durationMs: number
  /** Requests that this host would have in progress there, the new one included. */
  readonly requestFactor: number
  /** Preference for this host's failure domain. */
  readonly domainFactor: number
}
