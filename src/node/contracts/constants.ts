/** Limits of contracts, and intervals and timeouts of their propagation. */
export const contractConstants = {
  maxTokenDigests: 16,
  maxRequestsPerSecond: 1_000_000,
  maxTokensPerSecond: 1_000_000_000,
  maxKinds: 64,
  maxStages: 16,
  maxTokens: 1_000_000,
  maxDeadlineMs: 600_000,
  /** The key-value service stores values of up to 1 MB; the limit leaves space for a contract's history entry. */
  maxContractBytes: 256 * 1024,
  digestBuckets: 64,
  keyPrefix: 'contracts/',
  historyPrefix: 'contracts-history/',
  maxHistoryRevisions: 50,
  /** Write tokens of earlier revisions kept in an entry, so that a writer still finds its own after newer writes. */
  maxRecentTokens: 16,
  /** Time allowed to find out whether a write without a response took effect. */
  outcomeTimeoutMs: 5000,
  outcomeRetryMs: 200,
  /** Write attempts per change; a change that needs more means that the service is inconsistent. */
  maxWriteRounds: 20,
  watchersPerDomain: 2,
  pushFanout: 3,
  /** Larger sets result from a start or a long outage and are left to the digest exchange, which avoids a burst of pushes. */
  maxRevisionsPerPush: 50,
  digestPeriodMs: 1000,
  peerTimeoutMs: 1000,
  pullTimeoutMs: 3000,
  maxAccountsPerPull: 200,
  maxPullBytes: 4 * 1024 * 1024,
  startupRetryMs: 500,
  startupPeers: 3,
  watchRetryMs: 1000,
  /** Age of the last confirmation above which a host contacts a watcher instead of a random host. */
  askWatcherAfterMs: 3000,
  /** Age of the last confirmation above which a host accepts no contract changes. */
  unconfirmedAfterMs: 10_000,
  /** A full comparison finds changes that the watches missed; one watcher of all hosts runs it per period. */
  fullComparisonPeriodMs: 60_000,
  /** A longer pause between two digest exchanges means that this process was frozen. */
  freezeThresholdMs: 3000,
  /** Heartbeats buffered in a socket during a freeze arrive within this time after it. */
  staleHeartbeatWindowMs: 2000
} as const
