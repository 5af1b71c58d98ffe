/** Time bounds and budgets that the deployment sets. */
export interface HostTimings {
  /** A leaving upstream gets no request later than this after its notice. */
  readonly drainMs: number
  /** A process that was asked to stop is killed after this time. */
  readonly gracePeriodMs: number
  readonly configurationMs: number
  /** Longest time for which clients keep an address answer. */
  readonly maxAddressLifetimeMs: number
  /** Second sendings per first sending, over all hosts. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Second sendings that are allowed in a window besides the ratio, over all hosts. */
  readonly extraRetries: number
  readonly heartbeatMs: number
}
