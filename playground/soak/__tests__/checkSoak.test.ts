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

function buildExecution (kind: SoakRequest['kind'], part: Partial<SoakExecution> = {}): SoakExecution {
  const inputs = kind === 'pipe' ? ['i-9|pipe|1|0|1', 'i-9|pipe|1|1|2'] : []
  return { requestId: kind, upstreamId: 'i-1', service: 'shop', method: 'POST', path: `/${kind}/${kind}`, body: 'body', account: 'account-1', hasKey: false, inputs, timeLeftMs: 2400, atMs: 110, status: 200, signature: `sig-${kind}`, answer: 'answer', ...part }
}

const kinds = ['safe', 'once', 'stream', 'brittle', 'pipe'] as const
const validRecords: SoakRecords = {
  requests: kinds.map(kind => buildRequest(kind)),
  executions: kinds.map(kind => buildExecution(kind)),
  pieces: [
    { requestId: 'pipe', stage: 0, piece: 0, key: 'key-pipe' },
    { requestId: 'pipe', stage: 1, piece: 0, inputs: ['i-8|pipe|0|0|1', 'i-8|pipe|0|1|2'] }
  ],
  allowedServices: new Map(kinds.map(kind => [`/${kind}/`, new Set(['shop'])])),
  endedAtMs: 1000
}
const listRules = (records: Partial<SoakRecords>): readonly string[] => checkSoak({ ...validRecords, ...records }).map(violation => violation.split(':')[0]!)
const replaceRequest = (kind: SoakRequest['kind'], part: Partial<SoakRequest>) => ({ requests: validRecords.requests.map(request => request.kind === kind ? buildRequest(kind, part) : request) })
const replaceExecution = (kind: SoakRequest['kind'], part: Partial<SoakExecution>) => ({ executions: validRecords.executions.map(execution => execution.requestId === kind ? buildExecution(kind, part) : execution) })

t.test('the checker reports nothing for records without a violation', async t => {
  t.same(checkSoak(validRecords), [])
  t.same(listRules({ executions: [...validRecords.executions, buildExecution('safe'), buildExecution('stream')] }), [], 'requests that may be repeated')
  t.same(listRules(replaceRequest('brittle', { isComplete: false, answer: stream('brittle', 3) + 'id: 4' })), [], 'a stream whose connection broke')
  t.same(listRules(replaceRequest('safe', { status: 503, signature: undefined })), [], 'a refused repeatable request')
})

t.test('the checker reports each injected violation', async t => {
  t.same(listRules({ executions: [...validRecords.executions, buildExecution('once')] }), ['TWICE'], 'a request that ran twice')
  t.same(listRules({ executions: [...validRecords.executions, buildExecution('pipe')] }), ['TWICE'], 'a stream that must not be resumed ran twice')
  t.same(listRules(replaceRequest('once', { status: 503, signature: undefined })), ['REFUSED'], 'a refused request that ran')
  t.same(listRules(replaceRequest('once', { signature: 'sig-safe' })), ['MIXED'], 'the answer to another request')
  t.same(listRules(replaceRequest('once', { status: 500 })), ['MIXED'], "a status other than the upstream's")
  t.same(listRules(replaceRequest('safe', { signature: undefined })), ['MIXED'], 'an unsigned success')
  t.same(listRules(replaceRequest('safe', { answer: 'answ' })), ['MIXED'], 'a truncated body that looks complete')
  t.same(listRules({ executions: [...validRecords.executions, buildExecution('once', { requestId: 'smuggled' })] }), ['UNASKED'], 'a request that no client sent')
  t.same(listRules(replaceExecution('once', { body: 'other' })), ['UNASKED'], 'a changed body')
  t.same(listRules(replaceExecution('once', { hasKey: true })), ['UNASKED'], 'an API key that was forwarded')
  t.same(listRules(replaceExecution('once', { account: 'account-2' })), ['UNASKED'], 'another account')
  t.same(listRules(replaceExecution('once', { timeLeftMs: 3100 })), ['BUDGET'], 'a time budget larger than the client gave')
  t.same(listRules(replaceExecution('once', { service: 'engines' })), ['ROUTE'], 'a service that no configuration allows')
  t.same(listRules({ pieces: [{ requestId: 'pipe', stage: 0, piece: 0, key: 'key-other' }] }), ['UNASKED'], 'a piece with another key')
  t.same(listRules({ pieces: [{ requestId: 'nobody', stage: 0, piece: 0 }] }), ['UNASKED'], 'a piece of an unknown request')
  t.same(listRules({ pieces: [{ requestId: 'pipe', stage: 1, piece: 0, inputs: ['i-8|pipe|0|0|1'] }] }), ['MIXED'], 'a piece with only part of its inputs')
  t.same(listRules(replaceExecution('pipe', { inputs: ['i-9|pipe|1|0|1', 'i-9|other|1|1|2'] })), ['MIXED'], 'a request with the inputs of another request')
  t.same(listRules(replaceRequest('stream', { answer: stream('stream', 7) })), ['ORDER'], 'a stream that ends as complete without its last event')
  t.same(listRules(replaceRequest('stream', { answer: stream('stream', 3) + stream('stream', 8) })), ['ORDER'], 'repeated events')
  t.same(listRules({ endedAtMs: 100_000 }), ['RECOVER'], 'requests not served after the faults')
})
