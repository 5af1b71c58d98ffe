import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'

/** The burn counters of one or several hosts; sent between hosts as JSON text. */
export interface BurnSnapshot {
  /** Milliseconds since the epoch. */
  readonly atMs: number
  /** Hosts whose counters are included. */
  readonly hostIds: readonly string[]
  /** Largest number of missed requests first. */
  readonly entries: readonly BurnSnapshotEntry[]
  /** Entries with the fewest missed requests that were left out to bound the size. */
  readonly omittedEntries: number
}
