/** Times of the limits in milliseconds, and shares of an account's rate. */
export const limitConstants = {
  reportPeriodMs: 250,
  /** Least time between two reports to one owner, for hosts that run out before the period ends. */
  minReportGapMs: 20,
  /** The same while a request waits for the answer. */
  minWaitingReportGapMs: 10,
  /**
   * A host that has used up a lease of so few requests says so at once: the owner of a small account counts them
   * as unused until then and has no others.
   */
  smallGrantRequests: 4,
  /** Requests of one moment are reported together. */
  reportBatchDelayMs: 3,
  reportTimeoutMs: 400,
  leaseMs: 1000,
  /** A lease covers the demand of the report period and of the way to the owner and back. */
  leaseHorizonMs: 350,
  /** One report takes at most this part of what is left, so that a first request at another host finds some. */
  maxGrantShare: 0.5,
  /** Demand reported for an account that was used a short time ago, in requests a second. */
  minDemand: 0.1,
  /** Below this share of the last need a host reports before the period ends. */
  lowWatermarkShare: 0.25,
  /**
   * Requests that may be unused at one time, in seconds of the account's rate. Any 10 s then see at most
   * 104% of the rate, below the bound of 105%.
   */
  burstSeconds: 0.4,
  /** Window of the bound and share that it allows. */
  windowSeconds: 10,
  windowShare: 1.05,
  /** An account without demand for this long is no longer reported. */
  accountIdleMs: 2000,
  /** A budget that nobody used for this long is forgotten; a full burst is due again by then. */
  budgetIdleMs: 10_000,
  /** Time that news of a membership change takes for each doubling of the number of hosts. */
  disseminationMsPerDoubling: 250,
  /** While membership has been quiet this long, no former owner can hold a budget. */
  stableMembershipMs: 30_000,
  handoverRetentionMs: 30_000,
  /** A silent host is found dead by membership, or its last report was lost, within this time. */
  silentHostMs: 15_000,
  takeoverTimeoutMs: 300,
  /** First delay after which a refused request may be tried again: an owner answers within this time. */
  minRetryMs: 25,
  maxRetryMs: 5000
} as const
