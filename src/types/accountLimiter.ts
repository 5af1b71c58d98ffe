/**
 * One host's share of the rate limits that apply to accounts across all hosts. Times are milliseconds on the
 * clock of `nowMs`.
 */
export interface AccountLimiter {
  /**
   * Takes one request from the account's share at this host. If it is not granted, nothing is taken and
   * `retryAfterMs` is the time until a retry can succeed; otherwise `retryAfterMs` is 0.
   */
  take (account: string, nowMs: number): { readonly granted: boolean, readonly retryAfterMs: number }
}
