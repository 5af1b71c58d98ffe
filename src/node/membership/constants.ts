/** Intervals, timeouts and message limits of the membership protocol. */
export const membershipConstants = {
  protocolPeriodMs: 500,
  pingTimeoutMs: 500,
  /** Covers the helper's own ping of the target plus the round trip to the helper. */
  indirectPingTimeoutMs: 1000,
  indirectHelpers: 2,
  suspicionTimeoutMs: 2000,
  /** A longer pause between two protocol activities means that this process was frozen. */
  freezeThresholdMs: 1500,
  /** Dead hosts are remembered this long, so that delayed messages do not add them again. */
  deadRetentionMs: 600_000,
  maxMembersPerMessage: 8,
  maxEventsPerMessage: 4,
  /** Each update is sent `retransmitFactor * ceil(log2(hosts + 1))` times. */
  retransmitFactor: 3,
  /** Hosts of the host list pinged per protocol period while no member is known. */
  startupSeedPings: 3,
  hostListPeriodMs: 5000,
  /** Each host requests the full member table of a random live host at this interval. */
  tableSyncPeriodMs: 30_000,
  tableSyncTimeoutMs: 2000,
  /** Minimum time between two full table requests during startup or after a dead host rejoined. */
  minTableSyncIntervalMs: 5000,
  /** For this long after its start a host requests full tables while listed hosts are still unknown to it. */
  startupPhaseMs: 30_000,
  /** Events are remembered this long to detect duplicates. */
  eventRetentionMs: 60_000,
  /** Events are forwarded for this long. */
  eventForwardMs: 30_000,
  /** A host does not announce an event whose type and subject it saw this recently: several hosts may see the same upstream leave. */
  eventRepeatSuppressionMs: 5000,
  maxSeenEvents: 2048
} as const
