import t from 'tap'
import { checkHistory } from '../checkHistory.js'
import type { History } from '../history.js'
import type { RequestHistory } from '../requestHistory.js'

const call: RequestHistory = { account: 'pier', requestId: 'r1', kind: 'bell-issue', atMostOnce: true, startMs: 0, endMs: 100, outcome: 'answered' }
const run = { upstreamId: 'bell-1', account: 'pier', requestId: 'r1', stage: 'call', startMs: 10 }
const empty: History = { requests: [], executions: [], leavingUpstreams: [], changes: [], revisions: [] }

function listInvariants (history: Partial<History>): readonly string[] {
  return checkHistory({ ...empty, ...history }).map(violation => violation.invariant)
}

t.test('a correct history has no violation', t => {
  t.same(listInvariants({
    requests: [call, { ...call, requestId: 'r2', outcome: 'refused', ran: 'not_run' }, { ...call, requestId: 'r3', outcome: 'refused', ran: 'unknown' }],
    executions: [run, { ...run, requestId: 'r3' }],
    leavingUpstreams: [{ upstreamId: 'bell-1', leavingAtMs: 0 }]
  }), [])
  t.end()
})

t.test('catches a planted double run', t => {
  t.same(listInvariants({ requests: [call], executions: [run, { ...run, upstreamId: 'bell-2', startMs: 20 }] }), ['at_most_once'])
  t.end()
})

t.test('catches a planted lost result', t => {
  t.same(listInvariants({ requests: [{ ...call, outcome: 'lost' }], executions: [run] }), ['no_answer_lost'])
  t.end()
})

t.test('catches a planted crossed result', t => {
  t.same(listInvariants({ requests: [{ ...call, contentFault: 'marker of another request' }], executions: [run] }), ['whole_own_answer'])
  t.end()
})

t.test('catches a planted answer that nobody ran', t => {
  t.same(listInvariants({ requests: [call] }), ['whole_own_answer'])
  t.end()
})

t.test('catches a planted false "not run"', t => {
  t.same(listInvariants({ requests: [{ ...call, outcome: 'refused', ran: 'not_run' }], executions: [run] }), ['not_run_is_true'])
  t.end()
})

t.test('a refusal beside a submission of the same id that ran is judged by the order of both', t => {
  const refused: RequestHistory = { ...call, outcome: 'refused', ran: 'not_run', startMs: 5, endMs: 15 }
  t.same(listInvariants({ requests: [call, refused], executions: [run] }), [])
  t.same(listInvariants({ requests: [call, { ...refused, startMs: 11 }], executions: [run] }), ['not_run_is_true'])
  t.same(listInvariants({ requests: [refused, refused], executions: [run] }), ['not_run_is_true', 'not_run_is_true'])
  t.end()
})

t.test('catches a planted second run under a new id of the same call', t => {
  const again: RequestHistory = { ...call, requestId: 'r2', earlierRequestIds: ['r1'] }
  t.same(listInvariants({ requests: [{ ...call, outcome: 'refused', ran: 'unknown' }, again], executions: [run, { ...run, requestId: 'r2' }] }), ['at_most_once'])
  t.end()
})

t.test('catches a planted revision that comes into force too late', t => {
  const inForceExpectations = [{ hostId: 'host-1', account: 'pier', revision: 5, dueAtMs: 10 }]
  const observation = { hostId: 'host-1', incarnation: 1, account: 'pier', revision: 5, atMs: 9 }
  t.same(listInvariants({ inForceExpectations, revisions: [observation] }), [])
  t.same(listInvariants({ inForceExpectations, revisions: [{ ...observation, atMs: 11 }] }), ['in_force_in_time'])
  t.same(listInvariants({ inForceExpectations, revisions: [{ ...observation, revision: 4 }] }), ['in_force_in_time'])
  t.end()
})

t.test('catches planted work for a leaving upstream', t => {
  t.same(listInvariants({ requests: [call], executions: [{ ...run, startMs: 4000 }], leavingUpstreams: [{ upstreamId: 'bell-1', leavingAtMs: 500 }] }), ['no_work_for_leaving_upstreams'])
  t.end()
})

t.test('catches a planted reverted revision, also within one account of many', t => {
  const observation = { hostId: 'host-1', incarnation: 1, account: 'pier', revision: 5, atMs: 1 }
  t.same(listInvariants({ revisions: [observation, { ...observation, revision: 4, atMs: 2 }] }), ['revisions_monotonic'])
  t.same(listInvariants({ revisions: [observation, { ...observation, account: 'bridge', revision: 4, atMs: 2 }, { ...observation, incarnation: 2, revision: 4, atMs: 3 }] }), [])
  t.end()
})

t.test('catches two planted changes that both won one race', t => {
  const change = { account: 'pier', operator: 'a', baseRevision: 3, acceptedRevision: 4, startMs: 0, endMs: 10 }
  t.same(listInvariants({ changes: [change, { ...change, operator: 'b' }] }), ['revisions_linearizable', 'revisions_linearizable'])
  t.same(listInvariants({ changes: [{ ...change, baseRevision: 2 }] }), ['revisions_linearizable'])
  t.end()
})
