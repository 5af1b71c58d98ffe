/** Size limits, intervals and timeouts of claims. */
export const claimConstants = {
  /**
   * Length of the time slice that a segment covers. Each commit rewrites the whole segment, so longer slices cost
   * bandwidth.
   */
  SLICE_MS: 1000,
  /** Number of segments per time slice. */
  PARTITIONS_PER_SLICE: 8,
  /**
   * Minimum time between two commits of a segment; claims that arrive in between share the next commit. With 8
   * segments receiving claims at once, all hosts together make at most 267 writes per second; the key-value
   * service handles several hundred.
   */
  CLAIM_COMMIT_INTERVAL_MS: 30,
  /**
   * Minimum time between two commits for batches of outcomes only. Segments of past time slices receive outcomes too.
   */
  OUTCOME_COMMIT_INTERVAL_MS: 200,
  /** Time to wait for the host that commits a segment before this host writes the segment itself. */
  FORWARD_TIMEOUT_MS: 400,
  /** Number of segment writers, each with a cached segment, at which idle writers are removed. */
  WRITER_EVICTION_THRESHOLD: 64,
  /** Time limit to confirm a claim; the call is refused afterwards. */
  CLAIM_TIMEOUT_MS: 1500,
  /** Age from which the holder must no longer send the call. Guards against a holder that was paused after claiming. */
  CLAIM_FRESHNESS_MS: 2000,
  /** Time during which a caller may retry with the same request id. */
  RETRY_WINDOW_MS: 600_000,
  /**
   * Lifetime of a segment's lease: the retry window plus a margin for clock skew between hosts and the key-value
   * service.
   */
  SEGMENT_TTL_MS: 660_000,
  /** Request ids whose time lies further in the future are refused. */
  MAX_CLOCK_SKEW_MS: 30_000,
  /**
   * Maximum length of a stored response body. Longer bodies are dropped, and only the fact that the call ran is kept.
   */
  MAX_OUTCOME_BYTES: 16_384,
  /** Mutations that would grow a segment beyond this size are rejected. The key-value service limits values to 1 MB. */
  MAX_SEGMENT_BYTES: 900_000,
  /** Time limit to store an outcome. */
  OUTCOME_RECORD_TIMEOUT_MS: 10_000,
  /** Delay before a failed call to the key-value service is retried. */
  RETRY_DELAY_MS: 50
} as const
