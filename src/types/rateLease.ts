/** Share of an account's request rate that a host may use until the lease ends. */
export interface RateLease {
  readonly account: string
  readonly requestsPerSecond: number
  readonly durationMs: number
}
