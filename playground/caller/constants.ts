/** Constants of the caller. */
export const callerConstants = {
  connectTimeoutMs: 1000,
  silenceMs: 3000,
  cancelTimeoutMs: 1000,
  /** Time beyond the contract's deadline after which the caller gives up: the host's own error may be under way. */
  graceMs: 2000,
  maxRetries: 3,
  leastBackoffMs: 50,
  largestBackoffMs: 1000
} as const
