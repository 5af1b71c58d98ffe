/** Parameters of the requests of clients. */
export const ingressConstants = {
  /** The final answer leaves this long before the client stops waiting: a network round trip and a busy loop. */
  responseMarginMs: 25,
  /** A burst of clients connects at once after an outage. */
  listenBacklog: 2048,
  /** Clients wait for 0.85 to 1 times the time-out of a route; with less time left, an attempt is not the first one. */
  minClientTimeoutShare: 0.84,
  meanClientTimeoutShare: 0.925,
  /** Largest head of a request that the parser takes; the operator's limit is 16 KB. */
  maxHeaderBytes: 65_536,
  /** Interval at which connections are checked for time limits. */
  connectionCheckMs: 1000,
  /** Limits until a configuration is in force. */
  initialIdleTimeoutMs: 15_000,
  initialHeaderTimeoutMs: 5000,
  /** Pause told to clients when the host has no configuration or no upstream is known. */
  notReadyRetryAfterMs: 500,
  /** Pause told to clients of a host that stops: other hosts serve what it refuses, so they need not wait. */
  stoppingRetryAfterMs: 20,
  /** A host that stops within this time takes no streams: half of them last longer, and a cut one has to begin again. */
  minStreamTimeMs: 5000,
  /** Pause told to clients whose request found no free upstream. */
  busyRetryAfterMs: 400,
  /** An idempotent call without an answer after this many times the usual duration is sent elsewhere. */
  attemptTimeoutFactor: 6,
  minAttemptTimeoutMs: 150,
  /** No second sending with less time left. */
  minRetryTimeMs: 20,
  /** Upstreams at which a connection is tried for one request. */
  maxUnsentAttempts: 4,
  /** Runs of the stages of one request: the first one and one after its results were lost. */
  maxStageRuns: 2,
  /** A client that does not read its stream is cut off at this many waiting bytes. */
  maxUnreadBytes: 1_048_576,
  /** Life of an answer to an address query: short, so that clients leave a stopped host soon. */
  addressLifetimeMs: 2000,
  /** Hosts in an answer to an address query. */
  maxAddresses: 64
} as const
