import type { History } from './history.js'
import type { Violation } from './violation.js'

/** Finds revisions that a live host did not report as in force by the due time. */
export function checkInForce (history: History): readonly Violation[] {
  return (history.inForceExpectations ?? []).flatMap(({ hostId, account, revision, dueAtMs }) => {
    const observations = history.revisions.filter(observation => observation.hostId === hostId && observation.account === account)
    if (observations.some(observation => observation.revision >= revision && observation.atMs <= dueAtMs)) return []
    const late = observations.find(observation => observation.revision >= revision)
    const last = observations.findLast(observation => observation.atMs <= dueAtMs)
    const detail = late ? `revision ${revision} in force ${Math.round(late.atMs - dueAtMs)} ms too late` : `revision ${revision} was never reported as in force`
    return [{ invariant: 'in_force_in_time' as const, subject: `${hostId} ${account}`, detail, trace: [`at the due time: revision ${last?.revision ?? 'none'}`] }]
  })
}
