/** Parameters of the detection of prompt parts and requests that end upstreams. */
export const crashConstants = {
  /** A part on which no answer was seen to begin, or a request, is refused after this many ends of upstreams. */
  crashesToRefuse: 2,
  /**
   * Such a bound for a part on which answers began before: other parts of the same prompts are more likely the cause.
   */
  crashesToRefuseSound: 4,
  /** Different requests under which these ends must have come for a part to be refused. */
  requestsToRefusePart: 2,
  /** Time for which the beginning of an answer counts as a sign that its parts are sound. */
  soundMs: 300_000,
  /** A part on which an answer began within this time before the end of an upstream did not cause it. */
  recentlySoundMs: 2000,
  /** Time after the last crash until the first trial of a refused part; reports of other hosts arrive meanwhile. */
  settleMs: 1000,
  /** Upstreams that end within this time may have a common cause, such as the loss of a failure domain. */
  roundMs: 500,
  /**
   * Time until the next trial after a round of crashes beyond the bound; grows by the factor with each further one, up
   * to the maximum.
   */
  trialDelayMs: 10_000,
  trialDelayFactor: 6,
  maxTrialDelayMs: 3_600_000,
  /** Largest Retry-After of a refusal. */
  maxRetryAfterMs: 30_000,
  /** A host that lost the claim of a trial, or whose trial was not decided, claims again after this time. */
  claimRetryMs: 30_000,
  /** Claims of a host that it writes again in one call after a restore; the store accepts 32 entries. */
  maxClaimsWrittenAgain: 32,
  /** Parts, and requests, with evidence that a host remembers; the least recently used ones are dropped. */
  maxSuspects: 4096,
  /** Parts that a host remembers as sound. */
  maxSoundParts: 16_384,
  /** Ends of upstreams that are remembered for a part or a request. */
  maxCrashesPerSuspect: 16,
  /** Suspected parts in the report of one crash; a prompt has up to four. */
  maxPartsPerCrash: 64,
  /** Length of the digest of a request, in hexadecimal digits. */
  requestHashLength: 32,
  /** Length of a part id, in characters, above which the part is not tracked. */
  maxPartIdLength: 128,
  /** Timeout of the connection attempt that shows whether an upstream has ended; a refusal takes a round trip. */
  checkTimeoutMs: 250,
  /** Result of such a check for all requests that broke at the same time. */
  checkLifetimeMs: 1000,
  /** Reports are collected for this time. */
  reportDelayMs: 50,
  /** Pause before a report is written again after a failure. */
  reportRetryMs: 500,
  /** Entries of a report; more go into the next one. */
  maxReportEntries: 64,
  /** Entries that wait to be reported; more are left out and counted in the log. */
  maxPendingEntries: 2048,
  /** Lifetime of reports in the store, the longest that the store grants. */
  reportLeaseMs: 600_000,
  /**
   * A lease is used for new reports up to this age; evidence on parts that are still refused is written again at this
   * age.
   */
  reportRefreshMs: 300_000
} as const
