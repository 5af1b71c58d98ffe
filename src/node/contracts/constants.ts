/** Bounds of contracts and times of their propagation. */
export const contractConstants = {
  maxTokenDigests: 16,
  maxRequestsPerSecond: 1_000_000,
  maxTokensPerSecond: 1_000_000_000,
  maxKinds: 64,
  maxStages: 16,
  maxTokens: 1_000_000,
  maxDeadlineMs: 600_000,
  /** The key-value service stores values up to 1 MB; a contract leaves room for its history entry. */
  maxContractBytes: 256 * 1024,
  digestBuckets: 64,
  keyPrefix: 'contracts/',
  historyPrefix: 'contracts-history/',
  maxHistoryRevisions: 50,
  /** Tokens of earlier changes kept in the entry, so that a writer finds its own below newer ones. */
  maxRecentTokens: 16,
  /** Time in which a change with a lost answer is settled. */
  outcomeTimeoutMs: 5000,
  outcomeRetryMs: 200,
  /** More rounds of one change mean that the service contradicts itself. */
  maxWriteRounds: 20,
  watchersPerDomain: 2,
  pushFanout: 3,
  /** Larger sets come from a start or a long outage; the digest exchange spreads them without a burst. */
  maxRevisionsPerPush: 50,
  digestPeriodMs: 1000,
  peerTimeoutMs: 1000,
  pullTimeoutMs: 3000,
  maxAccountsPerPull: 200,
  maxPullBytes: 4 * 1024 * 1024,
  startupRetryMs: 500,
  startupPeers: 3,
  watchRetryMs: 1000,
  /** Age of the last confirmation after which a host asks a watcher instead of a random host. */
  askWatcherAfterMs: 3000,
  unconfirmedAfterMs: 10_000,
  /** The comparison finds changes that a watch missed; one watcher of the fleet makes it each period. */
  fullComparisonPeriodMs: 60_000,
  /** A pause of the periodic work that can only mean that this process was frozen. */
  freezeThresholdMs: 3000,
  /** Heartbeats that waited in a socket while the process was frozen arrive within this time. */
  staleHeartbeatWindowMs: 2000
} as const
