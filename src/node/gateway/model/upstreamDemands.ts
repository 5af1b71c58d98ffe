/** What an upstream asks of its callers in its answers. */
export interface UpstreamDemands {
  /** Requests a second that it takes from all hosts together; undefined when it names no limit. */
  readonly requestsPerSecond?: number
  /** Monotonic time until which it wants no requests from this host; 0 when it has not asked. */
  readonly backoffUntilMs: number
  /**
   * Time for which conditions hold the upstream back, those that the operator sets included; 0 or undefined when none
   * does, Infinity when unknown. A draining upstream counts as open.
   */
  readonly waitMs?: number
  /** Requests that this host may have in progress there; undefined when no condition limits them. */
  readonly places?: number
}
