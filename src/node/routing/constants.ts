/** Choice of upstreams. */
export const routingConstants = {
  /** Random candidates compared for each attempt, beside the affinity candidate. */
  sampledCandidates: 4,
  /**
   * Differences between load reports lose half their weight in about 0.7 of this age. Short work turns
   * over in less than a second, so that an older difference misleads more than it tells.
   */
  reportDecayMs: 200,
  /** Weight of the assumption that other hosts have as many streams waiting at an upstream as this one. */
  otherHostsQueueWeight: 0.5,
  /** Reports older than this are ignored. */
  reportLifetimeMs: 10_000,
  /** Own attempts in flight are sampled at this interval, so that a late report can be compared with its own time. */
  attemptHistoryStepMs: 250,
  attemptHistorySteps: 16,
  /** Predicted duration from which work counts as long. */
  longWorkMs: 2500,
  /** Least and largest share of the slots that long work leaves to short work. */
  minShortWorkShare: 0.06,
  maxShortWorkShare: 0.6,
  /** Extra latency of one more attempt at an upstream that does not report its slots. */
  loadWeight: 0.25,
  /** Predictions before the first observation. */
  initialCallMs: 20,
  initialTokenMs: 20,
  initialFirstTokenMs: 80,
  /** Share of the first-token latency that remains when the prompt prefix is cached. */
  cachedFirstTokenShare: 0.4,
  /** A prefix is kept for at most this many upstreams, and at most this many prefixes per pool. */
  maxUpstreamsPerPrefix: 4,
  maxPrefixesPerPool: 4096,
  /** A base latency may rise by this share in a second; a crest must not pass for the usual latency. */
  maxBaseRisePerSecond: 0.03,
  /** Hedges are sent no earlier than this multiple of the predicted latency; usual variation stays below. */
  minHedgeRatio: 1.8,
  maxHedgeRatio: 3,
  /** Upstreams sampled for the usual speed of a pool, and how often. */
  medianSampleSize: 33,
  medianIntervalMs: 100,
  /** Silence of an upstream, relative to the predicted latency, that marks it slow. */
  silenceRatio: 3,
  minSilenceMs: 60
} as const
