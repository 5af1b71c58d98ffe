import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'

/** The burn counters of one or more hosts; sent between hosts as JSON text. */
export interface BurnSnapshot {
  /** Milliseconds since the epoch. */
  readonly atMs: number
  /** Hosts whose counters are included. */
  readonly hostIds: readonly string[]
  /** In the snapshot of one host, entries with the most missed requests come first. */
  readonly entries: readonly BurnSnapshotEntry[]
  /** Number of entries, those with the fewest missed requests, that were left out to bound the size. */
  readonly omittedEntries: number
}
