/** Detection of slow upstreams. */
export const healthConstants = {
  /** Latency relative to the pool above which an upstream counts as slow; batching alone stays below. */
  slowRatio: 2.2,
  /** Latency relative to the pool below which a slow upstream begins to recover; the gap is hysteresis. */
  recoveredRatio: 1.6,
  /** Weight of a new sample in the average. Two clamped samples cross `slowRatio`, one does not. */
  sampleWeight: 0.35,
  /** Samples are clamped so that one extreme value does not take long to forget. */
  maxLatencyRatio: 4,
  /** First delay between probes of a slow upstream; doubles up to `largestProbeDelayMs`. */
  probeDelayMs: 1500,
  maxProbeDelayMs: 5000,
  /** Further delay of a probe whose hedge the budget does not cover; bounds how long a recovered upstream is left out. */
  unbudgetedProbeDelayMs: 15_000,
  /** Attempts in flight at which a recovering upstream counts as healthy again. */
  recoveredWindow: 8
} as const
