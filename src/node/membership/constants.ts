/** Times of the membership protocol in milliseconds, and bounds of its messages. */
export const membershipConstants = {
  protocolPeriodMs: 500,
  pingTimeoutMs: 500,
  /** An indirect ping takes one ping of the helper and the way to the helper and back. */
  indirectPingTimeoutMs: 1000,
  indirectHelpers: 2,
  suspicionTimeoutMs: 2000,
  /** A pause between two activities that can only mean that this process was frozen. */
  freezeThresholdMs: 1500,
  /** A dead host is remembered this long, so that old messages do not bring it back. */
  deadRetentionMs: 600_000,
  maxMembersPerMessage: 8,
  maxEventsPerMessage: 4,
  /** Each update is sent this many times the logarithm of the number of hosts. */
  retransmitFactor: 3,
  /** Hosts of the host list that are asked at the start, while no member is known. */
  startupSeedPings: 3,
  hostListPeriodMs: 5000,
  tableSyncPeriodMs: 30_000,
  tableSyncTimeoutMs: 2000,
  /** Least time between two full tables asked for at the start or after a dead host came back. */
  minTableSyncIntervalMs: 5000,
  /** While a host is this young and misses listed hosts, it asks for full tables. */
  startupPhaseMs: 30_000,
  eventRetentionMs: 60_000,
  eventForwardMs: 30_000,
  /** Hosts that see the same upstream leave need not all say so. */
  eventRepeatSuppressionMs: 5000,
  maxSeenEvents: 2048
} as const
