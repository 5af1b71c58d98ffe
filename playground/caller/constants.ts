/** Constants of the caller. */
export const callerConstants = {
  connectTimeoutMs: 1000,
  silenceMs: 3000,
  cancelTimeoutMs: 1000,
  /** Time beyond the contract's deadline after which the caller gives up: the host's own error may be under way. */
  graceMs: 2000,
  maxRetries: 3,
  /** Errors after which docs/guide/errors.md tells callers to send the same id to another address. */
  rejoinCodes: ['host_not_ready', 'owner_unavailable', 'host_stopped'],
  leastBackoffMs: 50,
  largestBackoffMs: 1000
} as const
