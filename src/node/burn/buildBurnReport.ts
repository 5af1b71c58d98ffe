import { burnConstants } from './constants.js'
import type { BurnCounts } from './burnCounts.js'
import type { BurnReport } from './burnReport.js'
import type { BurnReportEntry } from './burnReportEntry.js'
import type { BurnReportWindow } from './burnReportWindow.js'
import type { BurnSnapshot } from './burnSnapshot.js'
import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'

/** Computes attainment, burn rates and error budgets from counters; `missingHostIds` are live hosts that did not answer. */
export function buildBurnReport (snapshot: BurnSnapshot, missingHostIds: readonly string[] = []): BurnReport {
  const entries = snapshot.entries.map(buildEntry).sort(compareEntries)
  return { atMs: snapshot.atMs, hostIds: snapshot.hostIds, missingHostIds, entries, omittedEntries: snapshot.omittedEntries }
}

function buildEntry (entry: BurnSnapshotEntry): BurnReportEntry {
  const allowedShare = entry.objective === null ? null : 1 - entry.objective.attainment
  const windows = burnConstants.rings.map(({ window }) => [window, buildWindow(entry.windows[window], allowedShare)])
  const burnRate = buildWindow(entry.windows['6h'], allowedShare).burnRate
  return { ...entry, windows: Object.fromEntries(windows), budgetLeft: burnRate === null ? null : 1 - burnRate }
}

function buildWindow (counts: BurnCounts, allowedShare: number | null): BurnReportWindow {
  if (counts.total === 0) return { ...counts, attainment: null, burnRate: null }
  const missedShare = counts.missed / counts.total
  return { ...counts, attainment: 1 - missedShare, burnRate: computeBurnRate(missedShare, allowedShare) }
}

function computeBurnRate (missedShare: number, allowedShare: number | null): number | null {
  if (allowedShare === null) return null
  if (missedShare === 0) return 0
  // An objective of 100% leaves no budget. A minimum of 0.001 keeps the burn rate finite.
  return missedShare / Math.max(allowedShare, 0.001)
}

function compareEntries (a: BurnReportEntry, b: BurnReportEntry): number {
  const budgetOrder = (a.budgetLeft ?? 2) - (b.budgetLeft ?? 2)
  return budgetOrder !== 0 ? budgetOrder : b.windows['6h'].total - a.windows['6h'].total || `${a.account} ${a.kind}`.localeCompare(`${b.account} ${b.kind}`)
}
