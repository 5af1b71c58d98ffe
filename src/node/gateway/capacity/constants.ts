/** Parameters of the learned capacity of engines. */
export const capacityConstants = {
  /**
   * Reads of fewer prompt tokens give no sample: they take some 10 ms, about as long as the fixed part of the first
   * event.
   */
  minReadTokens: 500,
  /**
   * A first event that would mean a faster read than this shows a prompt that other hosts' requests had left in the
   * cache. Engines are stated to read 48 to 110 tokens per ms and reach 1.3 of that.
   */
  maxTokensPerMs: 200,
  /**
   * Tokens to which the measured duration of reading relates: that of one token is below the resolution of estimates.
   */
  readUnitTokens: 1000,
  /** Usual time between two arrivals of events; only ratios to it are used, so the value does not matter. */
  initialPaceMs: 20,
  /** Samples of a service before its figures are used; one straggler must not set the speed of all engines. */
  minServiceSamples: 8,
  /**
   * Half-life of the difference to the service's median while nothing is measured. The trials of
   * docs/design/learned-capacity.md differ little from 1 to 20 s; 1 s sends a tenth more work to an engine that is slow
   * for good, 20 s leaves one that has recovered unused for longer.
   */
  ratioHalfLifeMs: 5000,
  /**
   * Age of the newest sample from which a ratio decays; with a sample a second, it would otherwise stay below the true
   * one.
   */
  ratioRestMs: 2000,
  /** Lower bound of a ratio relative to the median, against cached prompts that pass for fast reads. */
  minRatio: 0.25,
  /** Engines from whose newest figures the median of a service is taken. */
  medianEngines: 33,
  /** Weight of the newest sample in the mean number of requests in progress, above which an engine counts as busy. */
  occupancyWeight: 0.1,
  /** Ratio to the median from which an engine is reported as slow, and below which it is reported as usual again. */
  slowRatio: 1.6,
  usualRatio: 1.3,
  /** Weight of the newest sample in the mean wait before an engine reads a prompt. */
  waitWeight: 0.35,
  /** Age of the newest sample from which the wait of an engine counts as unknown. */
  maxWaitAgeMs: 6000,
  /** Time after which the report of a request that this host placed for another one is not expected any more. */
  maxReportAgeMs: 30_000,
  /** Requests that are remembered for their reports: 30 s of 270 a second. */
  maxPlacedRequests: 8192,
  /** Shortest stream whose pace is measured, in arrivals of events. */
  minPaceEvents: 8,
  /** Half-life of the rate at which engines read the prompts of this host, and of the average backlog. */
  readRateHalfLifeMs: 2000,
  backlogHalfLifeMs: 1000,
  /** Shortest time over which this rate is taken. */
  minReadRateAgeMs: 200,
  /**
   * Standard deviations by which a backlog counts less. With 1, 4 and 20 hosts refused 3 to 12 of 2,200 requests
   * at half to 0.9 of the capacity (trial); with 1.5, none to 2.
   */
  backlogDeviations: 1.5,
  /** Lead of requests that have been read after which one sent before them counts no longer. */
  overtakenMs: 1000,
  /** Largest ratio of the wait of a new request to the time for which the oldest has waited. */
  waitGrowth: 2,
  /**
   * Wait up to which engines are no bottleneck: the time to read this number of mean prompts, and at least some time
   * for errors of the estimates. Above it, the part of the work that is admitted falls with a power of the wait.
   */
  usualPromptsAhead: 2,
  minUsualWaitMs: 400,
  /** Longest wait that counts, so that some work is admitted also when engines have read nothing for seconds. */
  maxEngineWaitMs: 3000,
  waitExponent: 1.5,
  /** Interval at which the shares of priorities and accounts are computed again. */
  planIntervalMs: 50,
  /** Half-life of the demand by which shares are computed: a load peak lasts 6 s. */
  demandHalfLifeMs: 3000,
  /**
   * Part of the admitted work that is divided equally among priorities; the rest goes to the most urgent ones. With
   * 0.2, 0.86 of an urgent class that asks for 0.8 of the capacity was admitted in place of 0.89 (trial, 4 hosts).
   */
  equalClassShare: 0.1,
  /** Part of an account's admitted work that requests which were refused before get ahead of new ones. */
  returningShare: 0.5,
  /** Bounds of the chance of a request relative to others of its account, by its size. */
  minSizeWeight: 0.85,
  maxSizeWeight: 1.2,
  /** Recent requests of a priority from which on their mean size is known. */
  minRecentRequests: 4,
  /** Bounds of the tokens of a request that count as its work; engines have caches of some 100,000 tokens. */
  minWorkTokens: 500,
  maxWorkTokens: 32_768,
  /** Time after its Retry-After for which a refused request is remembered: the round trip, and a busy client. */
  returnMarginMs: 1000,
  maxRefusedRequests: 4096,
  /** Bounds of the Retry-After of requests that no engine can begin in time, or that are beyond their share. */
  minRetryAfterMs: 300,
  maxRetryAfterMs: 6000
} as const
