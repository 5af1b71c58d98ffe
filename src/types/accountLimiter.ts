/**
 * Rate limit of accounts across all hosts, as one host uses it. Times are milliseconds on the clock
 * that `nowMs` comes from.
 */
export interface AccountLimiter {
  /**
   * Takes one request from the account's share at this host. When it is not granted nothing is
   * taken, and `retryAfterMs` tells when a new try can succeed; it is 0 when it is granted.
   */
  take (account: string, nowMs: number): { readonly granted: boolean, readonly retryAfterMs: number }
}
