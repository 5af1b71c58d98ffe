import type { BurnReportWindow } from './burnReportWindow.js'
import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'
import type { BurnWindowName } from './burnWindowName.js'

/** One account and kind of the burn report. */
export interface BurnReportEntry extends BurnSnapshotEntry {
  readonly windows: Readonly<Record<BurnWindowName, BurnReportWindow>>
  /** Remaining share of the 6-hour error budget; negative if overspent, null without requests or objective. */
  readonly budgetLeft: number | null
}
