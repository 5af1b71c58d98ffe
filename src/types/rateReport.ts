/** Demand of one account at one host, sent to the host that owns the account's rate limit. */
export interface RateReport {
  readonly account: string
  /** Requests per second since the last report, including refused ones. */
  readonly demandPerSecond: number
}
