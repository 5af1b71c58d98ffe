/** Parameters of the burn ledger. Windows cover their name's time and up to one bucket more. */
export const burnConstants = {
  /** Rings of counters, finest first; a ring holds one bucket more than its window, the current one. */
  rings: [
    { window: '5m', bucketMs: 60_000, buckets: 6 },
    { window: '1h', bucketMs: 300_000, buckets: 13 },
    { window: '6h', bucketMs: 1_800_000, buckets: 13 }
  ],
  /** Ring that the plots are drawn from. */
  plotRingIndex: 1,
  /** Accounts times kinds with counters on one host; beyond it the one idle for longest is dropped. */
  maximumEntries: 32_768,
  /** Accounts times kinds with causes on one host; beyond it the one without a miss for longest is dropped. */
  maximumCauseEntries: 2048,
  /** Labels kept for each kind of cause; the rarest makes room for a new one and leaves it its count. */
  maximumCauses: 8,
  /** Causes cover the current and the previous slice. */
  causeSliceMs: 1_800_000,
  /** Longer labels are cut. */
  maximumLabelLength: 64,
  /** Entries without requests for this long are dropped: all their windows are empty. */
  entryIdleMs: 23_400_000,
  /** Time between two searches for idle entries. */
  idleCheckMs: 60_000,
  /** Entries of one snapshot; bounds a peer message to about 1 MB. */
  maximumSnapshotEntries: 2000,
  peerTimeoutMs: 2000,
  /** Peers that are asked at the same time. */
  maximumConcurrentPeerCalls: 8,
  /** Entries with a plot in the HTML page, those with the least budget left. */
  maximumPlots: 200,
  /** A burn rate above this spends the budget of six hours within one hour. */
  fastBurnRate: 6,
  /**
   * Codes of requests outside the objective: the caller asked for more than its contract, withdrew the
   * request or sent a wrong one, or a draining host sent it to another host, which counts it.
   */
  excludedCodes: [
    'limit_reached', 'request_cancelled', 'request_id_reused', 'request_id_required', 'request_id_invalid', 'request_id_expired',
    'invalid_request', 'unknown_kind', 'host_draining'
  ] as readonly string[],
  /** Cause of whole answers that came after the objective's latency. */
  lateCode: 'late'
} as const
