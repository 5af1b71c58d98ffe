import type { History } from './history.js'
import type { Violation } from './violation.js'

/** Finds executions that began more than `graceMs` after their upstream was told to leave. */
export function checkLeavingUpstreams (history: History, graceMs: number): readonly Violation[] {
  return history.leavingUpstreams.flatMap(leaving => history.executions
    .filter(execution => execution.upstreamId === leaving.upstreamId && execution.startMs > leaving.leavingAtMs + graceMs)
    .slice(0, 1)
    .map(execution => ({
      invariant: 'no_work_for_leaving_upstreams' as const,
      subject: leaving.upstreamId,
      detail: `began new work ${Math.round(execution.startMs - leaving.leavingAtMs)} ms after it was told to leave`,
      trace: [`${execution.account}/${execution.requestId} ${execution.stage}`]
    })))
}
