/** Parameters of the handling of client requests. */
export const ingressConstants = {
  /**
   * The final response is sent this long before the client stops waiting, to allow for a network round trip and a busy
   * event loop.
   */
  responseMarginMs: 25,
  /** Longest time for which a connection counts as queued: clients give up one that takes longer. */
  maxQueuedMs: 1000,
  /** Largest share of the client's time that a request counts as queued. */
  maxQueuedShare: 0.2,
  /** Backlog of the listening socket: after an outage, a burst of clients connects at once. */
  listenBacklog: 2048,
  /**
   * Clients wait for 0.85 to 1 times the timeout of a route; an attempt with less time left than this share is a retry.
   */
  minClientTimeoutShare: 0.84,
  /** Mean of the range above. */
  meanClientTimeoutShare: 0.925,
  /** Largest request head that the HTTP parser accepts; the operator's limit is 16 KB. */
  maxHeaderBytes: 65_536,
  /** Requests of one connection that may be without a response; the last of them closes the connection. */
  maxPipelinedRequests: 16,
  /** Time for which a connection that the host has closed is read on, until the client closes it, too. */
  lingerMs: 1000,
  /** The same time behind answers that the client may still be reading. */
  longAnswerLingerMs: 15_000,
  /** Longer answers may wait in the sockets until the client reads them. */
  longAnswerBytes: 65_536,
  /** A stopping host keeps an idle connection open for this time after such an answer or a stream. */
  longAnswerIdleMs: 2000,
  /** Time for which connections are read on before the process ends, which resets those with unread bytes. */
  endLingerMs: 50,
  /** The body of a refused request is read for this time, so that the client gets the response. */
  discardTimeoutMs: 5000,
  /** A refused request with a longer body, or with one of unknown length, is answered before its body is read. */
  maxDiscardBytes: 65_536,
  /** Behind a refused body that is longer, or of unknown length, a connection is not used again. */
  maxSkippedBytes: 16_777_216,
  /** Interval at which a client that has closed its direction is checked for having left. */
  presenceCheckMs: 50,
  /** Times after this close at which it gets an interim response; some HTTP clients accept no more than five. */
  presenceProbesAtMs: [0, 200, 1000] as readonly number[],
  /** Interval at which connections are checked for timeouts. */
  connectionCheckMs: 1000,
  /** Timeouts that apply until a configuration is in force. */
  initialIdleTimeoutMs: 15_000,
  initialHeaderTimeoutMs: 5000,
  /** Retry-After of responses while the host has no configuration or knows no upstream. */
  notReadyRetryAfterMs: 500,
  /** Retry-After of responses of a stopping host: other hosts serve what it refuses, so clients need not wait. */
  stoppingRetryAfterMs: 20,
  /**
   * A host that stops within this time accepts no streams: half of them last longer, and one that is cut off has to
   * start again.
   */
  minStreamTimeMs: 5000,
  /** A host that stops within this time, or this multiple of the usual duration, accepts no other requests either. */
  minPlainTimeMs: 500,
  stopDurationFactor: 3,
  /** Retry-After of responses to requests that found no free upstream. */
  busyRetryAfterMs: 400,
  /** Largest Retry-After while the limits of all upstreams are reached. */
  maxLimitRetryAfterMs: 5000,
  /** An idempotent call without a response after this many times the usual duration is retried at another upstream. */
  attemptTimeoutFactor: 6,
  /** Lower bound of the time after which such a call is retried. */
  minAttemptTimeoutMs: 150,
  /** No retry with less time left. */
  minRetryTimeMs: 20,
  /** A request is refused when more attempts than this got no connection. */
  maxUnsentAttempts: 4,
  /** Runs of the stages of one request: the first one and one after its results were lost. */
  maxStageRuns: 2,
  /** An upstream whose event has no end within this many bytes sends no events; an event holds a few tokens. */
  maxPartialEventBytes: 262_144,
  /**
   * Clients abandon a stream after the longest of these: this time, a multiple of the route's pause and a multiple of
   * its latency target.
   */
  minStallMs: 2000,
  stallPauseFactor: 8,
  patienceAimFactor: 4,
  /** Prompt parts that the log names for a failed attempt; prompts have up to four. */
  maxLoggedParts: 8,
  /** A client that does not read its stream is disconnected at this many buffered bytes. */
  maxUnreadBytes: 1_048_576,
  /**
   * Largest body that is passed on without a stated end, as the upstream sent it. The kernel takes that much with one
   * write (`tcp_wmem` begins with 16 KB), so the end of the process cannot cut it.
   */
  maxUnframedBytes: 8192,
  /** Time to live of a response to an address query: short, so that clients soon stop using a stopped host. */
  addressLifetimeMs: 2000,
  /** Largest number of hosts in a response to an address query. */
  maxAddresses: 64,
  /** File descriptors of an idle process: the runtime, listeners, the store and other hosts (26 are too few). */
  reservedDescriptors: 32,
  /** Share of the rest that connections to the ingress may take; their requests need connections to upstreams. */
  clientDescriptorShare: 0.75,
  minClientConnections: 8,
  /** Share that connections to the directory may take: clients ask it for addresses, and may keep their connections. */
  directoryDescriptorShare: 0.12,
  /** Shares of the readiness and metrics servers, which few programs ask. */
  statusDescriptorShare: 0.02,
  /** Largest head of a request to these servers: a short target, and the usual fields. */
  maxStatusHeaderBytes: 8192,
  /** Time in which such a request must be received. */
  statusRequestTimeoutMs: 5000
} as const
