import type { History } from './history.js'
import type { Violation } from './violation.js'

/** Finds revisions that a live host did not report as in force by the due time. */
export function checkInForce (history: History): readonly Violation[] {
  return (history.inForceExpectations ?? []).flatMap(({ hostId, account, revision, dueAtMs: byMs }) => {
    const seen = history.revisions.filter(observation => observation.hostId === hostId && observation.account === account)
    if (seen.some(observation => observation.revision >= revision && observation.atMs <= byMs)) return []
    const later = seen.find(observation => observation.revision >= revision)
    const last = seen.findLast(observation => observation.atMs <= byMs)
    const detail = later ? `revision ${revision} in force ${Math.round(later.atMs - byMs)} ms too late` : `revision ${revision} was never reported as in force`
    return [{ invariant: 'in_force_in_time' as const, subject: `${hostId} ${account}`, detail, trace: [`at the due time: revision ${last?.revision ?? 'none'}`] }]
  })
}
