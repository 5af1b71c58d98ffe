/** Constants of the request path. */
export const requestConstants = {
  /** Finished answers stay readable at their owner for this time. */
  finishedRetentionMs: 60_000,
  /** Bound of all finished answers together. */
  finishedRetentionBytes: 48 * 1024 * 1024,
  /** Memory of a finished request besides its answer, rounded up. */
  entryOverheadBytes: 2048,
  maxDirectoryEntries: 50_000,
  /** Delay before the directory is asked again when a host turns out not to be the owner. */
  ownerLookupDelayMs: 20,
  maxTokensPerPeerEvent: 512,
  /** Tokens for joining hosts are collected for this time. */
  peerBatchDelayMs: 3,
  /** A caller that lost its connection has this time to join again before the work is cancelled. */
  abandonGraceMs: 500,
  /** Hosts in a route answer at least, besides those for the rate of the account. */
  minRouteHosts: 2,
  /** Requests a second of an account for which one more host is told. */
  requestsPerSecondPerRouteHost: 40,
  /**
   * Least time between two reports of a stream's progress to the router. The router takes an upstream without
   * progress for some predicted latencies as slow, so the interval must be shorter than those; a report for each
   * read would cost more than the relay.
   */
  progressIntervalMs: 100,
  maxAttemptsPerStage: 4,
  /** Time until a generation that found no room asks the router again. */
  capacityPollMs: 25,
  /** Time until the router is asked again for a hedge that it refused. */
  hedgePollMs: 50,
  /** A call that is given up after this time without an answer makes its connections suspect. */
  unansweredCallMs: 1000,
  /** Time for the answer of a call whose connection delivered the answer of another call. */
  mismatchedResponseTimeoutMs: 500,
  /** Time for the primary directory host to answer before the backup is asked. */
  directoryTimeoutMs: 300,
  /** An owner that is silent for this time is taken over. */
  ownerTimeoutMs: 1000,
  joinHeartbeatMs: 250,
  /** Longest search of the directory before a refusal is answered. */
  refusalLookupTimeoutMs: 150,
  /** Age of an id up to which its submission is taken for the first one; callers rejoin a silent host after 1 s or more. */
  maxFirstSubmissionAgeMs: 1000,
  /** Longest wait for a share of the account's limit; refusals are due within 50 ms. */
  creditWaitMs: 40,
  maxTakeovers: 8,
  /** Hosts that say they are not the owner are asked this often before the request is taken from them. */
  maxNotOwnerReplies: 3,
  /** After the deadline of a call that runs at most once, its outcome is still awaited and recorded. */
  lateOutcomeTimeoutMs: 3000,
  /** Directory entries without news from their owner are forgotten after this time. */
  directoryEntryLifetimeMs: 90_000,
  reregisterIntervalMs: 30_000,
  /** Delay after a membership change, so that several changes lead to one round of registrations. */
  reregisterDelayMs: 50,
  /** Timer gap that shows that this process did not run for a while. */
  freezeDetectionGapMs: 750,
  freezeCheckIntervalMs: 250,
  /** Epochs number their generations apart, so that tokens of two owners are never mixed. */
  generationsPerEpoch: 64,
  /** Code of an abort that leaves the upstream work to another host. */
  supersededCode: 'superseded',
  outcomeRecordTimeoutMs: 2000,
  minimumBudgetMs: 50,
  /** Smallest budget of a stage whose durations are not known yet. */
  minimumInitialBudgetMs: 250,
  latencySampleCount: 128,
  /** A stage that takes longer than this quantile of its past is given a second attempt. */
  budgetQuantile: 0.95,
  minimumLatencySamples: 10,
  promptPrefixLength: 256,
  /** Predicted length of a generation without any past, as a share of its maximum. */
  initialTokenShare: 0.5,
  defaultMaxTokens: 256,
  handOverPullTimeoutMs: 5000,
  handOverTimeoutMs: 8000,
  registrationBatchSize: 64,
  cancelTimeoutMs: 1000,
  routeLifetimeMs: 5000,
  /** Covers clock differences and answers on their way to callers. */
  leavingMarginMs: 1000
} as const
