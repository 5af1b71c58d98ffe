/** What an upstream asks of its callers in its answers. */
export interface UpstreamDemands {
  /** Requests a second that it takes from all hosts together; undefined when it names no limit. */
  readonly requestsPerSecond?: number
  /** Monotonic time until which it wants no requests from this host; 0 when it has not asked. */
  readonly backoffUntilMs: number
}
