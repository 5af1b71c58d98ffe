import { burnConstants } from './constants.js'
import { mergeCauses } from './mergeCauses.js'
import type { BurnCounts } from './burnCounts.js'
import type { BurnPoint } from './burnPoint.js'
import type { BurnSnapshot } from './burnSnapshot.js'
import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'

/** Adds the counters of several snapshots. The objective of an entry comes from the newest snapshot that has one. */
export function mergeBurnSnapshots (snapshots: readonly BurnSnapshot[]): BurnSnapshot {
  const merged = new Map<string, BurnSnapshotEntry>()
  for (const snapshot of [...snapshots].sort((a, b) => a.atMs - b.atMs)) {
    for (const entry of snapshot.entries) {
      const key = `${entry.account}\n${entry.kind}`
      const known = merged.get(key)
      merged.set(key, known === undefined ? entry : mergeEntries(known, entry))
    }
  }
  return {
    atMs: Math.max(0, ...snapshots.map(snapshot => snapshot.atMs)),
    hostIds: [...new Set(snapshots.flatMap(snapshot => snapshot.hostIds))].sort(),
    entries: [...merged.values()],
    omittedEntries: snapshots.reduce((sum, snapshot) => sum + snapshot.omittedEntries, 0)
  }
}

function mergeEntries (older: BurnSnapshotEntry, newer: BurnSnapshotEntry): BurnSnapshotEntry {
  const windows = burnConstants.rings.map(({ window }) => [window, mergeCounts(older.windows[window], newer.windows[window])])
  return {
    account: older.account,
    kind: older.kind,
    objective: newer.objective ?? older.objective,
    windows: Object.fromEntries(windows),
    causes: {
      codes: mergeCauses([older.causes.codes, newer.causes.codes]),
      stages: mergeCauses([older.causes.stages, newer.causes.stages]),
      upstreams: mergeCauses([older.causes.upstreams, newer.causes.upstreams])
    },
    points: mergePoints([...older.points, ...newer.points])
  }
}

function mergeCounts (a: BurnCounts, b: BurnCounts): BurnCounts {
  return { total: a.total + b.total, missed: a.missed + b.missed, excluded: a.excluded + b.excluded }
}

function mergePoints (points: readonly BurnPoint[]): readonly BurnPoint[] {
  const merged = new Map<number, BurnPoint>()
  for (const point of points) {
    const known = merged.get(point.atMs)
    merged.set(point.atMs, { atMs: point.atMs, total: (known?.total ?? 0) + point.total, missed: (known?.missed ?? 0) + point.missed })
  }
  return [...merged.values()].sort((a, b) => a.atMs - b.atMs)
}
