/** Limits, intervals and timeouts of request execution. */
export const requestConstants = {
  /** Time for which a finished answer can be read from its owner. */
  finishedRetentionMs: 60_000,
  /** Maximum total size of the finished answers on a host. */
  finishedRetentionBytes: 48 * 1024 * 1024,
  /** Memory use of a finished request without its answer, rounded up. */
  entryOverheadBytes: 2048,
  maxDirectoryEntries: 50_000,
  /** Delay before the directory is queried again after a host replied that it is not the owner. */
  ownerLookupDelayMs: 20,
  /** Maximum number of tokens in one event for a joined host. */
  maxTokensPerPeerEvent: 512,
  /** Time for which tokens are collected into one event for a joined host. */
  peerBatchDelayMs: 3,
  /** Time for a disconnected caller to join again before its request is cancelled. */
  abandonGraceMs: 500,
  /** Number of hosts in a route answer before those added for the account's request rate. */
  minRouteHosts: 2,
  /** Request rate of an account, in requests per second, that adds one host to its route answers. */
  requestsPerSecondPerRouteHost: 40,
  /**
   * Minimum time between two progress reports of a stream to the router. The router considers an upstream slow after
   * several predicted latencies without progress, so the interval must be shorter than that. A report per read would
   * cost more than relaying the tokens.
   */
  progressIntervalMs: 100,
  maxAttemptsPerStage: 4,
  /** Interval at which a generation that found no free capacity asks the router again. */
  capacityPollMs: 25,
  /** Interval at which the router is asked again for a hedge that it refused. */
  hedgePollMs: 50,
  /**
   * A call cancelled after this time without a response causes the pooled connections to its upstream to be replaced.
   */
  unansweredCallMs: 1000,
  /**
   * Time to wait for a call's response on other connections after its own connection delivered the response of
   * another call.
   */
  mismatchedResponseTimeoutMs: 500,
  /** Time for the primary directory host to respond before the backup is used. */
  directoryTimeoutMs: 300,
  /** Time without any event from an owner after which its requests are taken over. */
  ownerTimeoutMs: 1000,
  /**
   * Interval of heartbeats to joined hosts while the answer does not change, so that they do not take over the
   * request.
   */
  joinHeartbeatMs: 250,
  /** Time limit of the directory lookup that precedes a refusal. */
  refusalLookupTimeoutMs: 150,
  /**
   * Age of a request id below which its submission counts as the first one: callers wait at least 1 s before they
   * leave a silent host.
   */
  maxFirstSubmissionAgeMs: 1000,
  /** Maximum wait for a share of the account's limit. Refusals must be sent within 50 ms. */
  creditWaitMs: 40,
  /** Maximum number of times that a host runs, joins or takes over a request before the request fails. */
  maxExecutionRounds: 8,
  /** Number of `not_owner` replies that are followed by another directory lookup; the next one leads to a takeover. */
  maxNotOwnerReplies: 3,
  /** Time after the deadline for which the outcome of an at-most-once call is still awaited, in order to record it. */
  lateOutcomeTimeoutMs: 3000,
  /** Time without a registration after which a directory entry is removed. */
  directoryEntryLifetimeMs: 90_000,
  reregisterIntervalMs: 30_000,
  /** Delay after a membership change, so that several changes lead to a single round of registrations. */
  reregisterDelayMs: 50,
  /** Gap between two timer checks above which the process is assumed to have been frozen. */
  freezeDetectionGapMs: 750,
  freezeCheckIntervalMs: 250,
  /**
   * Size of the range of generation numbers of each epoch. The ranges are disjoint, so that tokens of two owners are
   * never mixed.
   */
  generationsPerEpoch: 64,
  /** Error code of an abort that leaves the upstream work running for another host. */
  supersededCode: 'superseded',
  /** Time for which a drain waits for the outcome of a call to be recorded. */
  outcomeRecordTimeoutMs: 2000,
  minimumBudgetMs: 50,
  /** A stage without enough samples gets at least this budget if its share of the remaining time allows it. */
  minimumInitialBudgetMs: 250,
  /** Number of most recent durations kept per stage. */
  latencySampleCount: 128,
  /** Quantile of the kept durations from which stage budgets are computed. */
  budgetQuantile: 0.95,
  minimumLatencySamples: 10,
  /** Number of leading characters of a prompt that its prefix hash covers. */
  promptPrefixLength: 256,
  /** Predicted length of a generation without samples, as a share of its maximum. */
  initialTokenShare: 0.5,
  defaultMaxTokens: 256,
  /** Time limit to read a finished answer from a stopping host. */
  handOverAnswerTimeoutMs: 5000,
  /** Time limit to hand over a batch of registrations, including the time in which the receiver reads their answers. */
  handOverTimeoutMs: 8000,
  registrationBatchSize: 64,
  cancelTimeoutMs: 1000,
  routeLifetimeMs: 5000,
  /** Margin beyond the route lifetime, for clock skew and for route answers still on their way to callers. */
  leavingMarginMs: 1000
} as const
