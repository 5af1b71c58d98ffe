/** Default timings and error classes of the caller. */
export const callerConstants = {
  connectTimeoutMs: 1000,
  silenceMs: 3000,
  cancelTimeoutMs: 1000,
  /** Time after the contract's deadline at which the caller gives up; the host's own deadline error may still arrive. */
  graceMs: 2000,
  maxRetries: 3,
  /** Errors after which the request is sent again with the same id to another address, see docs/guide/errors.md. */
  rejoinCodes: ['owner_unavailable', 'host_stopped', 'host_not_ready'],
  /** Refusals (`not_run`) after which another address is used although the error names none. */
  otherAddressCodes: ['host_not_ready', 'host_unconfirmed', 'host_draining'],
  minBackoffMs: 50,
  maxBackoffMs: 1000
} as const
