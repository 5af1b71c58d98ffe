/** Constants of the demo, such that a run takes less than 40 s. */
export const demoConstants = {
  /** Port of the first entry host under `--hold`; README.md uses it. */
  holdPort: 7100,
  /** Time after which the program stops the deployment under `--hold`. */
  maxHoldMs: 3_600_000,
  /** Mean time in which all requests arrive. */
  arrivalPeriodMs: 12_000,
  /** Maximum mean interval between arrivals, so that a run with few requests takes less than `arrivalPeriodMs`. */
  maxMeanGapMs: 40,
  /** Shorter than the default, so that the drain at the end takes less time. */
  routeLifetimeMs: 1500,
  /** Timeout of the graceful stop at the end of a run. */
  stopTimeoutMs: 6000,
  /** Timeout of the stop after an interruption, shorter because nobody waits for a drain. */
  interruptTimeoutMs: 1000,
  /** Time after which the demo ends itself, in case a part of it hangs. */
  maxRunMs: 39_000
} as const
