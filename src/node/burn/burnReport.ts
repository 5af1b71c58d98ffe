import type { BurnReportEntry } from './burnReportEntry.js'

/** Answer of `GET /admin/v1/burn`. */
export interface BurnReport {
  /** Milliseconds since the epoch. */
  readonly atMs: number
  readonly hostIds: readonly string[]
  /** Live hosts that did not answer; their requests are not counted. */
  readonly missingHostIds: readonly string[]
  /** Least budget left first. */
  readonly entries: readonly BurnReportEntry[]
  readonly omittedEntries: number
}
