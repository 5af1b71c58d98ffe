/** Constants of the caller. */
export const callerConstants = {
  connectTimeoutMs: 1000,
  silenceMs: 3000,
  cancelTimeoutMs: 1000,
  /** Time beyond the contract's deadline after which the caller gives up: the host's own error may be under way. */
  graceMs: 2000,
  maxRetries: 3,
  /** Errors after which the request is posted again with the same id at another address, see docs/guide/errors.md. */
  rejoinCodes: ['owner_unavailable', 'host_stopped', 'host_not_ready'],
  /** Refusals (`not_run`) by a host that asks for another address without naming one. */
  otherAddressCodes: ['host_not_ready', 'host_unconfirmed', 'host_draining'],
  minBackoffMs: 50,
  maxBackoffMs: 1000
} as const
