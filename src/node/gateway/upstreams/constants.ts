/** Parameters of the connections to upstreams and of the choice of an upstream. */
export const upstreamConstants = {
  /** Connecting takes a round trip and about 1 ms; TCP retransmits a lost SYN after a second. */
  connectTimeoutMs: 500,
  /** Idle timeout of a connection when the upstream states none. */
  idleTimeoutMs: 20_000,
  maxIdleTimeoutMs: 120_000,
  /**
   * A connection is not used this shortly before its idle timeout, so that no request is sent while the upstream closes
   * it.
   */
  idleMarginMs: 400,
  /** Responses of plain and stage services are buffered; the operator's limit for bodies is 4 MB. */
  maxResponseBytes: 8_388_608,
  /** A stream is cut after this many bytes; one has some thousand events of some hundred bytes. */
  maxStreamBytes: 2_097_152,
  /** Responses without a signature are buffered up to this size; bodies of errors have some hundred bytes. */
  maxUnsignedResponseBytes: 65_536,
  /**
   * Bytes of a head, of trailers or between two chunks after which an answer is given up; the operator's limit for
   * heads is 16 KB.
   */
  maxFramingBytes: 20_480,
  /** Lines of a head, of trailers or between two chunks after which an answer is given up; heads have a few dozen. */
  maxFramingLines: 256,
  /**
   * Limit of the HTTP parser, which `maxFramingBytes` does not let it reach: it builds an error for each header beyond
   * it.
   */
  maxParsedHeaderBytes: 65_536,
  /** The HTTP parser gets an answer in pieces of this size. */
  parsedPieceBytes: 4096,
  /**
   * Refused requests that a connection remembers; one is sent again within its deadline, among others that are refused.
   */
  maxRefusedRequests: 32,
  /** Interim responses (1xx) after which a connection is closed; upstreams send at most one. */
  maxInterimResponses: 8,
  /** A host uses at most this share of an upstream's connection limit divided by the number of live hosts. */
  connectionShare: 0.9,
  minConnections: 2,
  /** An upstream whose entry is missing when the store returns after an outage may register again within this time. */
  missingEntryGraceMs: 1900,
  /** Instances that a host remembers as leaving; a fleet replaces some thousand upstreams in a release. */
  maxLeavingInstances: 8192,
  /** Weight of the newest duration in an upstream's moving average. */
  durationWeight: 0.2,
  /** Half-life of an average without new measurements; neighbouring load slows upstreams for seconds. */
  durationHalfLifeMs: 3000,
  /** Consecutive failures after which an upstream is ejected. */
  failuresToEject: 3,
  /** Duration of the first ejection; doubles with each further one up to the maximum. */
  ejectMs: 1000,
  maxEjectMs: 8000,
  /** Answers in a row that break the protocol after which an upstream gets nothing for a while. */
  protocolErrorsToPause: 3,
  /** Duration of the first such pause; doubles with each further one up to the maximum. */
  protocolErrorPauseMs: 1000,
  maxProtocolErrorPauseMs: 8000,
  /** Pause for an upstream that asks for one whose length cannot be read. */
  defaultBackoffMs: 1000,
  /** Pause for an upstream whose address another instance has; its entry in the store usually changes before. */
  replacedPauseMs: 5000,
  /**
   * Time after which clients ask again while nobody knows when upstreams take requests: an evacuation lasts minutes.
   */
  unknownWaitMs: 5000,
  /** Longest pause that an upstream can ask for. */
  maxBackoffMs: 600_000,
  /** Share of a service's upstreams that may be ejected at the same time. */
  maxEjectedShare: 0.5,
  /** Hosts that share the request limit of an upstream. Each may be one request ahead of its share. */
  maxLimitHosts: 4,
  /**
   * Requests that each host may have in progress at an upstream without a limit while others of its service have one.
   */
  minPlaces: 2,
  /** Part of a limit that goes to requests of hosts without a share, which ask whether it still holds. */
  limitProbeShare: 0.1,
  minLimitLifetimeMs: 20_000,
  maxLimitLifetimeMs: 600_000,
  /** Interval at which the hosts that share a limit are chosen again. */
  limitShareRefreshMs: 1000
} as const
