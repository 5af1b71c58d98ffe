/** Parameters of the account limits. */
export const limitConstants = {
  /** Interval at which a host reports its demand to each limit owner. */
  reportPeriodMs: 250,
  /** Minimum time between two reports to one owner, for hosts whose lease runs out before the period ends. */
  minReportGapMs: 20,
  /** Minimum time between two reports to one owner while a request waits for the response. */
  minWaitingReportGapMs: 10,
  /**
   * A host that has used up a grant of at most this many requests reports at once. The owner of a small account counts
   * them as unused until then and has no others to grant. An account is small if its burst is below this number.
   */
  smallGrantRequests: 4,
  /** Delay before an urgent report, so that requests that arrive together are reported together. */
  reportBatchDelayMs: 3,
  reportTimeoutMs: 400,
  leaseMs: 1000,
  /** A grant covers the demand of this time: the report period plus the round trip to the owner. */
  leaseHorizonMs: 350,
  /** One report is granted at most this share of the available requests, so that some remain for a first request at another host. */
  maxGrantShare: 0.5,
  /** Minimum demand reported for a recently used account, in requests per second. */
  minDemand: 0.1,
  /** A host with less credit than this share of its expected need reports before the period ends. */
  lowWatermarkShare: 0.25,
  /**
   * Requests that may be leased or saved up at one time, in seconds of the account's rate. Any window of 10 s then
   * gets at most 104% of the rate, below the bound of 105%.
   */
  burstSeconds: 0.4,
  /** Bound on granted requests: in any window of this length, at most `windowShare` of the account's rate. */
  windowSeconds: 10,
  windowShare: 1.05,
  /** A host stops reporting an account that has had no request for this long. */
  accountIdleMs: 2000,
  /** The owner drops a budget that has received no report for this long. A full burst has accumulated by then. */
  budgetIdleMs: 10_000,
  /** Time that a membership change takes to reach all hosts, for each doubling of the number of hosts. */
  disseminationMsPerDoubling: 250,
  /** If the membership has not changed for this long, no former owner can still hold a budget. */
  stableMembershipMs: 30_000,
  /** Time for which a former owner forwards reports to its successor. */
  handoverRetentionMs: 30_000,
  /**
   * A host with demand that stops reporting is assumed to use its own share for this long. Within this time membership
   * detects a dead host; a live one has no demand, and its last report was lost.
   */
  silentHostMs: 15_000,
  /** Timeout of a takeover request and of a forwarded report. */
  takeoverTimeoutMs: 300,
  /** Minimum delay before a refused request is retried. An owner responds within this time. */
  minRetryMs: 25,
  maxRetryMs: 5000
} as const
