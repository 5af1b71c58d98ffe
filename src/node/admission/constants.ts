/** Parameters of the admission decision. */
export const admissionConstants = {
  /** Share of the time left after service until the latency objective that queueing may take, at priority 0 and 9. */
  minWaitShare: 0.2,
  maxWaitShare: 0.87,
  /** Smallest factor on that share for an account that uses more of its contract than the others. */
  minUsageFactor: 0.25,
  /** Usage relative to the mean up to which the wait share is not reduced, because the usage of small accounts varies randomly. */
  fairUsageRatio: 1.5,
  /** Time constant of an account's usage. */
  usageDecayMs: 1000,
  /** Rise of the safety margin with each missed objective and fall with each attained one. They balance at 9% missed. */
  marginRise: 0.05,
  marginFall: 0.005,
  /** Time constant of the margin's decay; it halves in about 0.7 of this time without new misses. */
  marginDecayMs: 1000,
  minRetryAfterMs: 50,
  maxRetryAfterMs: 2000
} as const
