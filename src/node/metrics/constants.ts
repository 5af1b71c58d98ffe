/** Constants of the metrics. */
export const metricsConstants = {
  prefix: 'lycheetrack_',
  /** Quantiles cover the last one to two windows; sum and count cover the lifetime of the process. */
  windowMs: 60_000,
  quantiles: [0.5, 0.9, 0.95, 0.99],
  /** Label combinations of one metric beyond this number are dropped and counted, so that memory stays bounded. */
  maxSeriesPerMetric: 1000,
  /** Two digits keep a histogram at a few KB with at most 1% error. */
  significantDigits: 2,
  /** Longer durations are recorded as this value (one hour). */
  maxDurationMs: 3_600_000,
  /** Sampling interval of the event loop delay. */
  eventLoopSampleIntervalMs: 20
} as const
