/** Service-level objective of one request kind. */
export interface Objective {
  /** Share of requests, between 0 and 1, that are answered whole within `latencyMs`. */
  readonly attainment: number
  readonly latencyMs: number
}
