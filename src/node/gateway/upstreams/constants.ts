/** Parameters of the connections to upstreams and of the choice among them. */
export const upstreamConstants = {
  /** Connecting takes a round trip and about 1 ms; a lost opening packet is sent again after a second. */
  connectTimeoutMs: 500,
  /** Idle time of a connection when the upstream states none. */
  idleTimeoutMs: 20_000,
  maxIdleTimeoutMs: 120_000,
  /** A connection is not used in the last part of its idle time, so that no request crosses its close. */
  idleMarginMs: 400,
  /** Answers of plain and stage services are read whole; the operator's limit for bodies is 4 MB. */
  maxResponseBytes: 8_388_608,
  /** Share of an upstream's connections that a host uses at most, of its part among the live hosts. */
  connectionShare: 0.9,
  minConnections: 2,
  /** An upstream that vanished from the store while it was away may come back within this time after its return. */
  missingEntryGraceMs: 1900,
  /** Weight of the newest duration in an upstream's average. */
  durationWeight: 0.2,
  /** Time after which an average that is not renewed counts half; neighbours slow upstreams for seconds. */
  durationHalfLifeMs: 3000,
  /** Failures in a row after which an upstream is set aside. */
  failuresToEject: 3,
  ejectMs: 1000,
  maxEjectMs: 8000,
  /** Share of a service's upstreams that may be set aside at the same time. */
  maxEjectedShare: 0.5
} as const
