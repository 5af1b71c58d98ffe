import type { AcceptedChange } from './acceptedChange.js'
import type { History } from './history.js'
import type { RevisionObservation } from './revisionObservation.js'
import type { Violation } from './violation.js'

/**
 * Checks contract revisions: an accepted change has the revision after its base, and no two changes are accepted with
 * the same revision; accepted revisions follow the real-time order of changes that do not overlap; no host process goes
 * back to an older revision.
 */
export function checkRevisions (history: History): readonly Violation[] {
  return [...checkAccepted(history.changes), ...checkMonotonic(history.revisions)]
}

function checkAccepted (changes: readonly AcceptedChange[]): readonly Violation[] {
  const accepted = changes.filter(change => change.acceptedRevision !== undefined)
  const violations: Violation[] = []
  for (const change of accepted) {
    if (change.acceptedRevision !== change.baseRevision + 1) violations.push(createViolation(change, change, 'accepted on a base that was not current'))
    const duplicate = accepted.find(other => other !== change && other.account === change.account && other.acceptedRevision === change.acceptedRevision)
    if (duplicate !== undefined) violations.push(createViolation(change, duplicate, 'two changes accepted with the same revision'))
    const later = accepted.find(other => other.account === change.account && other.endMs < change.startMs && other.acceptedRevision! > change.acceptedRevision!)
    if (later !== undefined) violations.push(createViolation(change, later, 'accepted after a change with a higher revision had ended'))
  }
  return violations
}

function createViolation (change: AcceptedChange, other: AcceptedChange, detail: string): Violation {
  const trace = [change, other].map(({ operator, baseRevision, acceptedRevision, startMs, endMs }) => `${operator}: ${baseRevision} -> ${acceptedRevision} from ${startMs} to ${endMs} (ms since the epoch)`)
  return { invariant: 'revisions_linearizable', subject: change.account, detail, trace }
}

function checkMonotonic (revisions: readonly RevisionObservation[]): readonly Violation[] {
  const highest = new Map<string, RevisionObservation>()
  const violations: Violation[] = []
  for (const observation of [...revisions].sort((a, b) => a.atMs - b.atMs)) {
    const key = `${observation.hostId}/${observation.incarnation}/${observation.account}`
    const previous = highest.get(key)
    if (previous !== undefined && observation.revision < previous.revision) {
      violations.push({
        invariant: 'revisions_monotonic',
        subject: `${observation.hostId} ${observation.account}`,
        detail: `went back from revision ${previous.revision} to ${observation.revision}`,
        trace: [previous, observation].map(({ revision, atMs }) => `revision ${revision} at ${atMs} (ms since the epoch)`)
      })
    }
    if (previous === undefined || observation.revision > previous.revision) highest.set(key, observation)
  }
  return violations
}
