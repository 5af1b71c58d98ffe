/** Parameters of the records that tell at which software version a stream began. */
export const versionConstants = {
  /** Longest time from the beginning of a stream to the last request that resumes it; clients wait up to 20 s. */
  streamLifetimeMs: 60_000,
  /** Time for which new records are added to the same item of the store. */
  sliceMs: 5000,
  /** Records of one item; more go into the next one. */
  maxSliceRecords: 4096,
  /** Writes of records a second by all hosts together, of the 400 writes that the store takes. */
  fleetWritesPerS: 150,
  /** Time within which a record is written, beyond the pause between writes; the request is refused after it. */
  recordTimeoutMs: 1000,
  /** Time without an answer after which a write is repeated; the store usually answers in 4 ms, a slow one in 200. */
  writeRepeatMs: 250,
  /** Time for which a lease is used for new items. */
  leaseUseMs: 30_000,
  /** Pause after a failed write. Until a write succeeds, no new record is waited for. */
  writeRetryMs: 200,
  /** Digits of the number of an item, so that keys sort by it. */
  sliceNumberLength: 10,
  /** Attempts to read the records for a request that resumes a stream, and the pause between them. */
  readAttempts: 3,
  readRetryMs: 100,
  /** After a restore of the store, the hosts write lost records again within this time. */
  restoreMs: 2000,
  /** Era of a store that has never been restored; it rises by one with each restore. */
  firstEra: 1,
  /** Turns in which the hosts write lost records of others: one host of each item in a turn, all in the last one. */
  restoreTurnMs: 400,
  restoreTurns: 4,
  /** Lost items that one call writes; an item has some kilobytes. */
  maxRestoredItems: 16,
  /** Records of streams at the base version that all hosts together write in a second; all hosts keep them. */
  fleetBaseRecordsPerS: 500,
  /** Time whose share of these records may be written at once, when a service gets its second version. */
  baseRecordBurstMs: 10_000,
  /** Longest time until such a record is written; no stream waits for it. */
  baseRecordDelayMs: 500,
  /** Time for which it is kept whether a service has records at other versions than its base version. */
  otherVersionsMs: 1000,
  /** Streams that a host remembers; the oldest are dropped. */
  maxStartedStreams: 16_384,
  /** Interval of checks: base versions that serve no more, streams without a record, records in doubt. */
  checkMs: 5000,
  /** Length of the digest of a request id, in characters of six bits each. */
  streamHashLength: 11
} as const
