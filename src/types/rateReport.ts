/** Demand of one account at one host, sent to the account's limit owner. */
export interface RateReport {
  readonly account: string
  /** Requests a second asked for since the last report, refused ones included. */
  readonly demandPerSecond: number
}
