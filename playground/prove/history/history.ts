import type { AcceptedChange } from './acceptedChange.js'
import type { ExecutionHistory } from './executionHistory.js'
import type { InForceExpectation } from './inForceExpectation.js'
import type { LeavingUpstream } from './leavingUpstream.js'
import type { RequestHistory } from './requestHistory.js'
import type { RevisionObservation } from './revisionObservation.js'

/** Everything recorded during one run. */
export interface History {
  readonly requests: readonly RequestHistory[]
  readonly executions: readonly ExecutionHistory[]
  readonly leavingUpstreams: readonly LeavingUpstream[]
  readonly changes: readonly AcceptedChange[]
  readonly revisions: readonly RevisionObservation[]
  readonly inForceExpectations?: readonly InForceExpectation[]
}
