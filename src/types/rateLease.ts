/** Part of an account's request rate that a host may use until the lease expires. */
export interface RateLease {
  readonly account: string
  readonly requestsPerSecond: number
  readonly durationMs: number
}
