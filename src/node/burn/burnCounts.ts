/** Requests of one window. `missed` is a part of `total`; `excluded` requests are in neither. */
export interface BurnCounts {
  readonly total: number
  /** Not answered whole within the objective's latency. */
  readonly missed: number
  /** Outside the objective: beyond the contract's rate, withdrawn or wrong by the caller's doing. */
  readonly excluded: number
}
