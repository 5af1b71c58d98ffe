/** Sizes and times of claims. */
export const claimConstants = {
  /** Width of the time slice that a segment covers. */
  SLICE_MS: 10_000,
  /** Segments per slice; each commits on its own, so this bounds the fleet's write rate together with COMMIT_INTERVAL_MS. */
  PARTITIONS: 8,
  /** Least time between two writes of one segment by one host; claims that arrive meanwhile share the next write. */
  COMMIT_INTERVAL_MS: 5,
  /** Longest time to confirm a claim before the call is refused. */
  CLAIM_TIMEOUT_MS: 1500,
  /** Age at which a holder must not send the call any more; a paused holder finds its claim too old. */
  FRESH_MS: 2000,
  /** Time during which a caller may retry with the same id. */
  RETRY_WINDOW_MS: 600_000,
  /** Lifetime of a segment's lease: the retry window plus clock differences between hosts and the service. */
  SEGMENT_TTL_MS: 660_000,
  /** Request ids from further in the future are refused. */
  CLOCK_SKEW_MS: 30_000,
  /** Longest stored answer; of longer ones only the fact that the call ran is kept. */
  MAX_OUTCOME_BYTES: 16_384,
  /** A segment that would grow beyond this takes no new claim; the service holds values up to 1 MB. */
  MAX_SEGMENT_BYTES: 900_000,
  /** Longest time to store an outcome. */
  RECORD_TIMEOUT_MS: 10_000,
  /** Pause before a failed call to the key-value service is repeated. */
  RETRY_PAUSE_MS: 50
} as const
