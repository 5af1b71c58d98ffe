import { checkInForce } from './checkInForce.js'
import { checkLeavingUpstreams } from './checkLeavingUpstreams.js'
import { checkRequests } from './checkRequests.js'
import { checkRevisions } from './checkRevisions.js'
import type { History } from './history.js'
import type { Violation } from './violation.js'

/** Time after which a leaving upstream must not receive new work. */
const LEAVING_GRACE_MS = 3000

/** Checks all invariants; the violations with the shortest traces come first. */
export function checkHistory (history: History): readonly Violation[] {
  const violations = [...checkRequests(history), ...checkLeavingUpstreams(history, LEAVING_GRACE_MS), ...checkRevisions(history), ...checkInForce(history)]
  return violations.sort((a, b) => a.trace.length - b.trace.length)
}
