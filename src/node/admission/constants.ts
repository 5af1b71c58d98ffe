/** Decisions at the door. */
export const admissionConstants = {
  /** Share of the spare time until the objective's latency that may be spent in queues, at priority 0 and at priority 9. */
  minWaitShare: 0.2,
  maxWaitShare: 0.87,
  /** Least factor on that share for an account that uses more of its contract than the others. */
  minUsageFactor: 0.25,
  /** Use relative to the mean up to which an account's wait share is not cut; small accounts vary by chance. */
  fairUsageRatio: 1.5,
  /** Time constant of an account's use. */
  usageDecayMs: 1000,
  /** Rise of the safety margin with each missed objective and fall with each attained one; they balance at 9% missed. */
  marginRise: 0.05,
  marginFall: 0.005,
  /** The margin halves in about 0.7 of this time without new misses. */
  marginDecayMs: 1000,
  minRetryAfterMs: 50,
  maxRetryAfterMs: 2000
} as const
