/** Thresholds and delays for detecting slow upstreams and probing them. */
export const healthConstants = {
  /** An upstream is slow above this latency relative to the pool median. Batching alone stays below it. */
  slowRatio: 2.2,
  /** A slow upstream starts to recover below this latency relative to the pool median; the gap to `slowRatio` is hysteresis. */
  recoveredRatio: 1.6,
  /** Weight of a new sample in the moving average. Two samples at `maxLatencyRatio` exceed `slowRatio`, one does not. */
  sampleWeight: 0.35,
  /** Upper bound of a sample, so that the average recovers quickly from one extreme value. */
  maxLatencyRatio: 4,
  /** Initial delay between probes of a slow upstream; doubles up to `maxProbeDelayMs`. */
  probeDelayMs: 1500,
  maxProbeDelayMs: 5000,
  /**
   * Additional delay of a probe whose hedge the retry budget does not cover. Bounds how long an upstream that has
   * recovered stays unused.
   */
  unbudgetedProbeDelayMs: 15_000,
  /** Window of attempts in flight at which a recovering upstream counts as healthy again and the window is removed. */
  recoveredWindow: 8
} as const
