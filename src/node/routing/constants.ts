/** Parameters of the choice of upstreams. */
export const routingConstants = {
  /** Upstreams sampled at random and compared for each attempt, in addition to those that cache the prompt prefix. */
  sampledCandidates: 4,
  /**
   * Time constant with which the difference between a load report and the pool mean decays; half of it is gone
   * after about 0.7 of this time. Short work completes within a second, so older differences are misleading.
   */
  reportDecayMs: 200,
  /** Weight of the assumption that every other host has as many streams waiting at an upstream as this host. */
  otherHostsQueueWeight: 0.5,
  /** Load reports older than this are ignored. */
  reportLifetimeMs: 10_000,
  /**
   * Interval and number of the samples of this host's attempts in flight. A load report arrives late and is compared
   * with the sample of the time at which it was measured.
   */
  attemptHistoryStepMs: 250,
  attemptHistorySteps: 16,
  /** Work with at least this predicted service time is long. */
  longWorkMs: 2500,
  /** Smallest and largest share of the slots that long work leaves to short work. */
  minShortWorkShare: 0.06,
  maxShortWorkShare: 0.6,
  /**
   * Relative rise of the service time caused by load: by each own attempt in flight at an upstream that does not report
   * its slots, otherwise by all slots in use.
   */
  loadWeight: 0.25,
  /** Predicted latencies before the first observation. */
  initialCallMs: 20,
  initialTokenMs: 20,
  initialFirstTokenMs: 80,
  /** Latency of the first token with a cached prompt prefix, as a share of the latency without one. */
  cachedFirstTokenShare: 0.4,
  /** Size limits of the prefix index of a pool. */
  maxUpstreamsPerPrefix: 4,
  maxPrefixesPerPool: 4096,
  /** Largest relative rise of a base latency per second, so that the base does not follow a load peak. */
  maxBaseRisePerSecond: 0.03,
  /** Bounds of the hedge delay as a multiple of the predicted latency. Ordinary variation stays below `minHedgeRatio`. */
  minHedgeRatio: 1.8,
  maxHedgeRatio: 3,
  /** Number of upstreams sampled for the median latency ratio of a pool, and the interval between samplings. */
  medianSampleSize: 33,
  medianIntervalMs: 100,
  /**
   * An upstream is marked slow when it has made no normal progress for this multiple of the predicted latency, but not
   * before `minStallMs`.
   */
  stallRatio: 3,
  minStallMs: 60,
  /** Longest pause of an upstream that broke the protocol; callers wait no longer for one that is well again. */
  maxProtocolPauseMs: 1000
} as const
