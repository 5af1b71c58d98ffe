import type { BurnReportEntry } from './burnReportEntry.js'

/** Response of `GET /admin/v1/burn`. */
export interface BurnReport {
  /** Milliseconds since the epoch. */
  readonly atMs: number
  readonly hostIds: readonly string[]
  /** Live hosts that did not answer; their requests are not counted. */
  readonly missingHostIds: readonly string[]
  /** Entries with the least budget left come first. */
  readonly entries: readonly BurnReportEntry[]
  /** Entries that the hosts left out to bound the size of their snapshots. */
  readonly omittedEntries: number
}
