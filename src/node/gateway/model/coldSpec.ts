/** How the upstreams of a service begin. */
export interface ColdSpec {
  /** Time for which an upstream is cold after its start; 0 when not stated. */
  readonly durationMs: number
  /** Requests a second that an upstream takes from all hosts together while it is cold. */
  readonly requestsPerSecond: number
}
