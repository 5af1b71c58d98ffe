/** Service-level objective of one request kind. */
export interface Objective {
  /** Fraction of requests, between 0 and 1, that must be answered completely within `latencyMs`. */
  readonly attainment: number
  readonly latencyMs: number
}
