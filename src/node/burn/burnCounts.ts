/** Request counts of one window. `total` includes `missed` but not `excluded`. */
export interface BurnCounts {
  readonly total: number
  /** Requests without a complete answer within the objective's latency. */
  readonly missed: number
  /** Requests that the objective does not cover, see `burnConstants.excludedCodes`: above the contract's rate, cancelled, invalid, or refused by a draining host. */
  readonly excluded: number
}
