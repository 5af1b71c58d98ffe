/** Parameters of the detection of a cut from all upstreams, and of the relays through other hosts. */
export const relayConstants = {
  /** A single upstream may be silent for a second or so; all of them are not, while requests are in progress. */
  silenceMs: 1000,
  /** Upstreams that refuse connections, with no connection opened in between, before the links are checked. */
  failuresToCheck: 2,
  /** Interval at which silence is noticed. */
  observeIntervalMs: 100,
  /** Upstreams that are probed in one check of the links. */
  probesPerCheck: 3,
  /** Timeout of a probe; an answer takes a few round trips. */
  probeTimeoutMs: 400,
  /** Pause between two checks of the links while the host is cut off. */
  recheckMs: 300,
  /** Hosts through which a host that is cut off sends its requests. */
  relayHosts: 3,
  /** A host that does not relay is not asked again for this time. */
  avoidHostMs: 1000,
  /** Interval at which relaying hosts that were lost are replaced. */
  replaceIntervalMs: 100,
  /** Time in which a peer accepts a session. */
  sessionConnectMs: 500,
  /** Interval at which requests that wait for a relaying host look for one. */
  hostPollMs: 10,
  /** Requests that a host relays at the same time for all others. */
  maxRelayed: 512,
  /** Bytes of a relayed answer that wait to be sent, above which no more of it is read. */
  maxUnsentBytes: 32_768
} as const
