/** Constants of the HTTP server. */
export const serverConstants = {
  maxBodyBytes: 1024 * 1024,
  bodyTimeoutMs: 10_000,
  /** Memory for all bodies that are being received; 22 of the largest ones. With 32 MB, a process took up to 218 of 210 MB. */
  bodyMemoryBytes: 25_165_824,
  /** Least multiple of the largest body that may be received at a time: one account gets two thirds. */
  minBodyMultiple: 2,
  /** Retry-After of requests that are refused because this memory is used up. */
  bodyMemoryRetryAfterMs: 1000,
  /** Requests of one connection without a whole response, beyond which nothing more is read from it. */
  maxOpenRequests: 16,
  /** Pieces of connections with requests ahead that are read in one turn of the event loop; a piece may hold 14 requests. */
  maxPiecesPerTurn: 4,
  routeLifetimeMs: 5000,
  /** Tokens that arrive within this time are sent in one write. */
  coalesceMs: 3,
  /** Interval at which an idle stream sends a comment line, so that callers can detect a broken connection. */
  streamKeepaliveIntervalMs: 500,
  /** Maximum number of tokens in one event; a caller that catches up gets several events. */
  maxTokensPerEvent: 1024,
  /** Bytes that may be buffered for a connection before its writer waits for the caller to read. */
  maxBufferedBytes: 262_144,
  /** A connection is closed when its buffer stays full, or its finished answer stays unread, for this time. */
  stalledCallerTimeoutMs: 30_000,
  maxRequestIdLength: 128,
  /** Maximum wait for the answer of a request at another host before the status of the request is reported. */
  lookupWaitMs: 200,
  /**
   * Backlog for `listen`. The process accepts few connections per turn of a busy event loop; with Node's
   * default of 511, some connections of a burst of 2000 were reset after 17 s.
   */
  listenBacklog: 4096,
  /** Longer than the lifetime of a route response, so that callers keep their connections. */
  connectionKeepAliveTimeoutMs: 15_000,
  /** Interval at which a closing server closes connections that have become idle. */
  idleConnectionCheckMs: 50,
  /** Interval at which connections are checked for overdue headers. */
  headersTimeoutCheckMs: 2000
} as const
