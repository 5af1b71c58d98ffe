/** Constants of the HTTP server. */
export const serverConstants = {
  maxBodyBytes: 1024 * 1024,
  bodyTimeoutMs: 10_000,
  routeLifetimeMs: 5000,
  /** Tokens that arrive within this time after a write go out together. */
  coalesceMs: 3,
  /** Quiet streams carry a comment line this often, so that callers can tell a silent connection. */
  streamKeepaliveIntervalMs: 500,
  /** Tokens in one event; a caller that catches up gets several. */
  maxTokensPerEvent: 1024,
  /** Bytes that a connection may hold before the relay waits for the caller. */
  maxBufferedBytes: 262_144,
  /** A caller that takes no bytes of a finished answer for this time is cut off. */
  stalledCallerTimeoutMs: 30_000,
  maxRequestIdLength: 128,
  /** Time for the answer of a request at another host to arrive before its status is reported. */
  lookupWaitMs: 200,
  /**
   * Backlog for `listen`. The process accepts few connections per turn of a busy event loop; with the
   * usual 511 a burst of 2000 connections led to connections that were reset after 17 s.
   */
  listenBacklog: 4096,
  /** Longer than the lifetime of a route answer, so that callers keep their connections. */
  connectionKeepAliveTimeoutMs: 15_000,
  idleConnectionCheckMs: 50,
  /** How often connections are checked for headers that do not come. */
  headersTimeoutCheckMs: 2000
} as const
