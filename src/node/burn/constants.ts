/** Parameters of the burn counters and the burn report. A window covers its nominal length plus up to one bucket. */
export const burnConstants = {
  /** Ring buffers of counters, finest first. A ring has one bucket more than its window needs, for the current, incomplete one. */
  rings: [
    { window: '5m', bucketMs: 60_000, buckets: 6 },
    { window: '1h', bucketMs: 300_000, buckets: 13 },
    { window: '6h', bucketMs: 1_800_000, buckets: 13 }
  ],
  /** Index of the ring whose buckets the plots show. */
  plotRingIndex: 1,
  /** Entries (account and kind) with counters per host; above this the one that has been idle longest is dropped. */
  maximumEntries: 32_768,
  /** Entries with causes per host; above this the one whose last missed request is the oldest is dropped. */
  maximumCauseEntries: 2048,
  /** Labels kept per type of cause; a new label replaces the rarest one and inherits its count. */
  maximumCauses: 8,
  /** Length of a time slice of causes; the current and the previous slice are reported. */
  causeSliceMs: 1_800_000,
  /** Longer labels are truncated. */
  maximumLabelLength: 64,
  /** Entries without requests for this long are dropped, because all their windows are empty. */
  entryIdleMs: 23_400_000,
  /** Interval between two searches for idle entries. */
  idleCheckMs: 60_000,
  /** Entries per snapshot; limits the message to a peer to about 1 MB. */
  maximumSnapshotEntries: 2000,
  peerTimeoutMs: 2000,
  maximumConcurrentPeerCalls: 8,
  /** Entries with a plot on the HTML page: those with the least budget left. */
  maximumPlots: 200,
  /** A higher burn rate spends the 6-hour budget in less than one hour. */
  fastBurnRate: 6,
  /**
   * Error codes of requests that the objective does not cover: the caller exceeded its contract, cancelled the request
   * or sent an invalid one, or a draining host referred it to another host, which counts it.
   */
  excludedCodes: [
    'limit_reached', 'request_cancelled', 'request_id_reused', 'request_id_required', 'request_id_invalid', 'request_id_expired',
    'invalid_request', 'unknown_kind', 'host_draining'
  ] as readonly string[],
  /** Cause of complete answers that took longer than the objective's latency. */
  lateCode: 'late'
} as const
