/** Expected cost of a request at one engine by part, in milliseconds. */
export interface EngineCost {
  /** Reading of the prompt tokens that are not in the engine's cache. */
  readonly prefillMs: number
  /** Margin in favour of the home engine, for the tokens that it has cached and this engine has not. */
  readonly homeMarginMs: number
  /** Wait until the engine begins to read the prompt. */
  readonly backlogMs: number
  /** Transfer of stage results from another failure domain. */
  readonly transferMs: number
  /** Slowdown by the requests that this host has in progress there. */
  readonly inFlightMs: number
  /** Weighted mean of the measured times to the first event. */
  readonly firstEventMs: number
}
