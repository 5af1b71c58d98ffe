import t from 'tap'
import { checkSoak } from '../checkSoak.js'
import type { SoakRecords } from '../soakRecords.js'
import type { SoakRequest } from '../soakRequest.js'
import type { SoakExecution } from '../soakExecution.js'

const stream = (id: string, count: number): string => Array.from({ length: count }, (_, i) => `id: ${i + 1}\ndata: ${id}:${i + 1}\n\n`).join('')

function buildRequest (kind: SoakRequest['kind'], part: Partial<SoakRequest> = {}): SoakRequest {
  const answer = kind === 'safe' || kind === 'once' ? 'answer' : stream(kind, 8)
  return { id: kind, kind, method: 'POST', path: `/${kind}/${kind}`, body: 'body', timeoutMs: 2500, sentAtMs: 100, status: 200, signature: `sig-${kind}`, answer, isComplete: true, ...part }
}

function buildRun (kind: SoakRequest['kind'], part: Partial<SoakExecution> = {}): SoakExecution {
  const inputs = kind === 'pipe' ? ['i-9|pipe|1|0|1', 'i-9|pipe|1|1|2'] : []
  return { requestId: kind, upstreamId: 'i-1', service: 'shop', method: 'POST', path: `/${kind}/${kind}`, body: 'body', account: 'account-1', hasKey: false, inputs, timeLeftMs: 2400, atMs: 110, status: 200, signature: `sig-${kind}`, answer: 'answer', ...part }
}

const kinds = ['safe', 'once', 'stream', 'brittle', 'pipe'] as const
const kept: SoakRecords = {
  requests: kinds.map(kind => buildRequest(kind)),
  executions: kinds.map(kind => buildRun(kind)),
  pieces: [
    { requestId: 'pipe', stage: 0, piece: 0, key: 'key-pipe' },
    { requestId: 'pipe', stage: 1, piece: 0, inputs: ['i-8|pipe|0|0|1', 'i-8|pipe|0|1|2'] }
  ],
  allowedServices: new Map(kinds.map(kind => [`/${kind}/`, new Set(['shop'])])),
  endedAtMs: 1000
}
const listRules = (records: Partial<SoakRecords>): readonly string[] => checkSoak({ ...kept, ...records }).map(violation => violation.split(':')[0]!)
const replaceRequest = (kind: SoakRequest['kind'], part: Partial<SoakRequest>) => ({ requests: kept.requests.map(request => request.kind === kind ? buildRequest(kind, part) : request) })
const replaceRun = (kind: SoakRequest['kind'], part: Partial<SoakExecution>) => ({ executions: kept.executions.map(run => run.requestId === kind ? buildRun(kind, part) : run) })

t.test('the checker is silent when all promises are kept', async t => {
  t.same(checkSoak(kept), [])
  t.same(listRules({ executions: [...kept.executions, buildRun('safe'), buildRun('stream')] }), [], 'what may be repeated')
  t.same(listRules(replaceRequest('brittle', { isComplete: false, answer: stream('brittle', 3) + 'id: 4' })), [], 'a cut stream')
  t.same(listRules(replaceRequest('safe', { status: 503, signature: undefined })), [], 'a refused repeatable request')
})

t.test('the checker finds each planted violation', async t => {
  t.same(listRules({ executions: [...kept.executions, buildRun('once')] }), ['TWICE'], 'a request that ran twice')
  t.same(listRules({ executions: [...kept.executions, buildRun('pipe')] }), ['TWICE'], 'a stream that may not be resumed ran twice')
  t.same(listRules(replaceRequest('once', { status: 503, signature: undefined })), ['REFUSED'], 'a refused request that ran')
  t.same(listRules(replaceRequest('once', { signature: 'sig-safe' })), ['MIXED'], 'an answer of another request')
  t.same(listRules(replaceRequest('once', { status: 500 })), ['MIXED'], 'another status')
  t.same(listRules(replaceRequest('safe', { signature: undefined })), ['MIXED'], 'an unsigned success')
  t.same(listRules(replaceRequest('safe', { answer: 'answ' })), ['MIXED'], 'part of a body that looks whole')
  t.same(listRules({ executions: [...kept.executions, buildRun('once', { requestId: 'smuggled' })] }), ['UNASKED'], 'a run that no client asked for')
  t.same(listRules(replaceRun('once', { body: 'other' })), ['UNASKED'], 'a changed body')
  t.same(listRules(replaceRun('once', { hasKey: true })), ['UNASKED'], 'a key that was passed on')
  t.same(listRules(replaceRun('once', { account: 'account-2' })), ['UNASKED'], 'another account')
  t.same(listRules(replaceRun('once', { timeLeftMs: 3100 })), ['BUDGET'], 'more time than is left')
  t.same(listRules(replaceRun('once', { service: 'engines' })), ['ROUTE'], 'a service that no configuration allows')
  t.same(listRules({ pieces: [{ requestId: 'pipe', stage: 0, piece: 0, key: 'key-other' }] }), ['UNASKED'], 'a piece with another key')
  t.same(listRules({ pieces: [{ requestId: 'nobody', stage: 0, piece: 0 }] }), ['UNASKED'], 'a piece of no request')
  t.same(listRules({ pieces: [{ requestId: 'pipe', stage: 1, piece: 0, inputs: ['i-8|pipe|0|0|1'] }] }), ['MIXED'], 'a piece with some of its inputs')
  t.same(listRules(replaceRun('pipe', { inputs: ['i-9|pipe|1|0|1', 'i-9|other|1|1|2'] })), ['MIXED'], 'a request with inputs of another one')
  t.same(listRules(replaceRequest('stream', { answer: stream('stream', 7) })), ['ORDER'], 'a stream that ends early as complete')
  t.same(listRules(replaceRequest('stream', { answer: stream('stream', 3) + stream('stream', 8) })), ['ORDER'], 'events that come twice')
  t.same(listRules({ endedAtMs: 100_000 }), ['RECOVER'], 'no service after the faults')
})
