/** Constants of the demo. Times are chosen so that a run stays under 40 s. */
export const demoConstants = {
  /** Port of the first entry host while the deployment is held, as in README.md. */
  holdPort: 7100,
  maxHoldMs: 3_600_000,
  /** Time in which all requests arrive. */
  arrivalPeriodMs: 12_000,
  /** Mean gap between arrivals, at most; a short run does not stretch over the whole time. */
  maxMeanGapMs: 40,
  /** Shorter than usual, so that the drain at the end is over soon. */
  routeLifetimeMs: 1500,
  stopTimeoutMs: 6000,
  /** After an interruption nobody waits for a drain. */
  interruptTimeoutMs: 1000,
  /** The demo ends itself when a part of it hangs. */
  maxRunMs: 39_000
} as const
