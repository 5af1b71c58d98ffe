/** Decisions at the door. */
export const admissionConstants = {
  /** Share of the spare time until the objective's latency that may be spent in queues, at priority 0 and at priority 9. */
  waitShareLowest: 0.2,
  waitShareHighest: 0.87,
  /** Least factor on that share for an account that uses more of its contract than the others. */
  leastUseFactor: 0.25,
  /** Use relative to the mean up to which an account's wait share is not cut; small accounts vary by chance. */
  fairUse: 1.5,
  /** Time constant of an account's use. */
  useDecayMs: 1000,
  /** Rise of the safety margin with each missed objective and fall with each attained one; they balance at 9% missed. */
  strainRise: 0.05,
  strainFall: 0.005,
  /** The margin halves in about 0.7 of this time without new misses. */
  strainDecayMs: 1000,
  leastRetryAfterMs: 50,
  largestRetryAfterMs: 2000
} as const
