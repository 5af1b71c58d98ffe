/** Sizes and times of claims. */
export const claimConstants = {
  /** Width of the time slice that a segment covers; each commit rewrites the segment, so a wide slice costs bandwidth. */
  SLICE_MS: 1000,
  /** Segments per slice. */
  PARTITIONS_PER_SLICE: 8,
  /**
   * Least time between two writes of one segment; claims that arrive meanwhile share the next write. With 8 segments
   * taking claims at once this bounds the fleet to 267 writes a second, within the service's several hundred.
   */
  CLAIM_COMMIT_INTERVAL_MS: 30,
  /** The same for batches that hold outcomes only; segments of past slices take these as well. */
  OUTCOME_COMMIT_INTERVAL_MS: 200,
  /** Time to wait for the host that commits a segment before this host writes itself. */
  FORWARD_TIMEOUT_MS: 400,
  /** Writers kept with a copy of their segment. */
  WRITER_EVICTION_THRESHOLD: 64,
  /** Longest time to confirm a claim before the call is refused. */
  CLAIM_TIMEOUT_MS: 1500,
  /** Age at which a holder must not send the call any more; a paused holder finds its claim too old. */
  CLAIM_FRESHNESS_MS: 2000,
  /** Time during which a caller may retry with the same id. */
  RETRY_WINDOW_MS: 600_000,
  /** Lifetime of a segment's lease: the retry window plus clock differences between hosts and the service. */
  SEGMENT_TTL_MS: 660_000,
  /** Request ids from further in the future are refused. */
  MAX_CLOCK_SKEW_MS: 30_000,
  /** Longest stored answer; of longer ones only the fact that the call ran is kept. */
  MAX_OUTCOME_BYTES: 16_384,
  /** A segment that would grow beyond this takes no new claim; the service holds values up to 1 MB. */
  MAX_SEGMENT_BYTES: 900_000,
  /** Longest time to store an outcome. */
  OUTCOME_RECORD_TIMEOUT_MS: 10_000,
  /** Pause before a failed call to the key-value service is repeated. */
  RETRY_DELAY_MS: 50
} as const
