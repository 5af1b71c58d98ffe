import t from 'tap'
import { checkHistory } from '../checkHistory.js'
import type { History } from '../history.js'
import type { RequestHistory } from '../requestHistory.js'

const call: RequestHistory = { account: 'pier', requestId: 'r1', kind: 'bell-issue', atMostOnce: true, startMs: 0, endMs: 100, outcome: 'answered' }
const execution = { upstreamId: 'bell-1', account: 'pier', requestId: 'r1', stage: 'call', startMs: 10 }
const empty: History = { requests: [], executions: [], leavingUpstreams: [], changes: [], revisions: [] }

function listInvariants (history: Partial<History>): readonly string[] {
  return checkHistory({ ...empty, ...history }).map(violation => violation.invariant)
}

t.test('a correct history has no violation', t => {
  t.same(listInvariants({
    requests: [call, { ...call, requestId: 'r2', outcome: 'refused', ran: 'not_run' }, { ...call, requestId: 'r3', outcome: 'refused', ran: 'unknown' }],
    executions: [execution, { ...execution, requestId: 'r3' }],
    leavingUpstreams: [{ upstreamId: 'bell-1', leavingAtMs: 0 }]
  }), [])
  t.end()
})

t.test('reports a call that was executed twice', t => {
  t.same(listInvariants({ requests: [call], executions: [execution, { ...execution, upstreamId: 'bell-2', startMs: 20 }] }), ['at_most_once'])
  t.end()
})

t.test('reports a request without an answer', t => {
  t.same(listInvariants({ requests: [{ ...call, outcome: 'lost' }], executions: [execution] }), ['no_answer_lost'])
  t.end()
})

t.test('reports the answer to another request', t => {
  t.same(listInvariants({ requests: [{ ...call, contentFault: 'marker of another request' }], executions: [execution] }), ['whole_own_answer'])
  t.end()
})

t.test('reports an answer to a request that no upstream executed', t => {
  t.same(listInvariants({ requests: [call] }), ['whole_own_answer'])
  t.end()
})

t.test('reports a not_run refusal of a request that was executed', t => {
  t.same(listInvariants({ requests: [{ ...call, outcome: 'refused', ran: 'not_run' }], executions: [execution] }), ['not_run_is_true'])
  t.end()
})

t.test('accepts a not_run refusal only when another submission of the same id was executed later', t => {
  const refused: RequestHistory = { ...call, outcome: 'refused', ran: 'not_run', startMs: 5, endMs: 15 }
  t.same(listInvariants({ requests: [call, refused], executions: [execution] }), [])
  t.same(listInvariants({ requests: [call, { ...refused, startMs: 11 }], executions: [execution] }), ['not_run_is_true'])
  t.same(listInvariants({ requests: [refused, refused], executions: [execution] }), ['not_run_is_true', 'not_run_is_true'])
  t.end()
})

t.test('reports a second execution of a call under a new id', t => {
  const again: RequestHistory = { ...call, requestId: 'r2', earlierRequestIds: ['r1'] }
  t.same(listInvariants({ requests: [{ ...call, outcome: 'refused', ran: 'unknown' }, again], executions: [execution, { ...execution, requestId: 'r2' }] }), ['at_most_once'])
  t.end()
})

t.test('reports a revision that comes into force too late or never', t => {
  const inForceExpectations = [{ hostId: 'host-1', account: 'pier', revision: 5, dueAtMs: 10 }]
  const observation = { hostId: 'host-1', incarnation: 1, account: 'pier', revision: 5, atMs: 9 }
  t.same(listInvariants({ inForceExpectations, revisions: [observation] }), [])
  t.same(listInvariants({ inForceExpectations, revisions: [{ ...observation, atMs: 11 }] }), ['in_force_in_time'])
  t.same(listInvariants({ inForceExpectations, revisions: [{ ...observation, revision: 4 }] }), ['in_force_in_time'])
  t.end()
})

t.test('reports new work for a leaving upstream', t => {
  t.same(listInvariants({ requests: [call], executions: [{ ...execution, startMs: 4000 }], leavingUpstreams: [{ upstreamId: 'bell-1', leavingAtMs: 500 }] }), ['no_work_for_leaving_upstreams'])
  t.end()
})

t.test('reports a host that goes back to an older revision of one account', t => {
  const observation = { hostId: 'host-1', incarnation: 1, account: 'pier', revision: 5, atMs: 1 }
  t.same(listInvariants({ revisions: [observation, { ...observation, revision: 4, atMs: 2 }] }), ['revisions_monotonic'])
  t.same(listInvariants({ revisions: [observation, { ...observation, account: 'bridge', revision: 4, atMs: 2 }, { ...observation, incarnation: 2, revision: 4, atMs: 3 }] }), [])
  t.end()
})

t.test('reports two concurrent changes that were both accepted, and a change accepted on an outdated base', t => {
  const change = { account: 'pier', operator: 'a', baseRevision: 3, acceptedRevision: 4, startMs: 0, endMs: 10 }
  t.same(listInvariants({ changes: [change, { ...change, operator: 'b' }] }), ['revisions_linearizable', 'revisions_linearizable'])
  t.same(listInvariants({ changes: [{ ...change, baseRevision: 2 }] }), ['revisions_linearizable'])
  t.end()
})
