/** Requests that all hosts together may send to a cold upstream in any second: rate x overage + slack. */
export interface ColdBound {
  readonly overage: number
  readonly slack: number
}
