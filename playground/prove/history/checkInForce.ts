import type { History } from './history.js'
import type { Violation } from './violation.js'

/** Finds revisions that a live host did not report as in force in time. */
export function checkInForce (history: History): readonly Violation[] {
  return (history.inForceExpectations ?? []).flatMap(({ hostId, account, revision, dueAtMs: byMs }) => {
    const seen = history.revisions.filter(observation => observation.hostId === hostId && observation.account === account)
    if (seen.some(observation => observation.revision >= revision && observation.atMs <= byMs)) return []
    const later = seen.find(observation => observation.revision >= revision)
    const last = seen.findLast(observation => observation.atMs <= byMs)
    const detail = later ? `revision ${revision} in force ${Math.round(later.atMs - byMs)} ms too late` : `revision ${revision} was not seen in force`
    return [{ invariant: 'in_force_in_time' as const, subject: `${hostId} ${account}`, detail, trace: [`at the end of the time: revision ${last?.revision ?? 'none'}`] }]
  })
}
