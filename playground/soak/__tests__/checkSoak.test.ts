import t from 'tap'
import { checkSoak } from '../checkSoak.js'
import type { SoakRecords } from '../soakRecords.js'
import type { SoakRequest } from '../soakRequest.js'
import type { SoakDisruption } from '../soakDisruption.js'
import type { SoakExecution } from '../soakExecution.js'
import type { SoakHostRun } from '../soakHostRun.js'

const stream = (id: string, count: number, { lastEventId = 0, version = 'v1' } = {}): string => {
  return Array.from({ length: count }, (_, i) => lastEventId + i + 1)
    .map(eventId => `id: ${eventId}\ndata: ${id}:${eventId}:${version}\n\n`)
    .join('')
}

function buildRequest (kind: SoakRequest['kind'], part: Partial<SoakRequest> = {}): SoakRequest {
  const answer = kind === 'safe' || kind === 'once' ? 'answer' : stream(kind, 8)
  return { id: kind, kind, method: 'POST', path: `/${kind}/${kind}`, body: 'body', form: 'single', timeoutMs: 2500, sentAtMs: 100, writtenAtMs: 101, endedAtMs: 150, host: 'h', isKept: true, isAllowed: true, hasLeft: false, wasReset: false, status: 200, signature: `sig-${kind}`, answer, isComplete: true, ...part }
}

function buildExecution (kind: SoakRequest['kind'], part: Partial<SoakExecution> = {}): SoakExecution {
  const inputs = kind === 'pipe' ? ['i-9|pipe|1|0|1', 'i-9|pipe|1|1|2'] : []
  return { requestId: kind, upstreamId: 'i-1', service: 'shop', method: 'POST', path: `/${kind}/${kind}`, body: 'body', account: 'account-1', hasKey: false, inputs, timeLeftMs: 2400, atMs: 110, endedAtMs: 140, status: 200, signature: `sig-${kind}`, answer: 'answer', ...part }
}

const startedAtMs = -20_000
function buildRun (part: Partial<SoakHostRun> = {}): SoakHostRun {
  const run = { host: 'h', startedAtMs, signals: [], memoryMb: 400, peakMemoryMb: 150, slowed: [], errors: [], lastReadyAtMs: 100_000 }
  return { ...run, ...part }
}
const signals = (...list: ReadonlyArray<readonly [NodeJS.Signals, number]>): SoakHostRun['signals'] => {
  return list.map(([signal, atMs]) => ({ signal, atMs }))
}

const kinds = ['safe', 'once', 'stream', 'brittle', 'pipe'] as const
const validRecords: SoakRecords = {
  requests: kinds.map(kind => buildRequest(kind)),
  executions: kinds.map(kind => buildExecution(kind)),
  pieces: [
    { requestId: 'pipe', stage: 0, piece: 0, key: 'key-pipe' },
    { requestId: 'pipe', stage: 1, piece: 0, inputs: ['i-8|pipe|0|0|1', 'i-8|pipe|0|1|2'] }
  ],
  domains: new Map([['i-1', 'zone-1']]),
  services: new Map([['i-1', 'shop'], ['i-2', 'other']]),
  engines: [],
  heldUp: [],
  runs: [buildRun()],
  disruptions: [{ type: 'configuration', id: 'shop', fromMs: startedAtMs, toMs: startedAtMs }],
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

t.test('the checker recognizes processes that violate FAULT and excuses what the soak has caused', async t => {
  const listFaults = (part: Partial<SoakHostRun>): readonly string[] => listRules({ runs: [buildRun(), buildRun(part)] })
  const stop = signals(['SIGTERM', 100])
  t.same(listFaults({ end: { code: 1, signal: null, atMs: 100 } }), ['FAULT'], 'an end without a signal')
  t.same(
    listFaults({ end: { code: 0, signal: null, atMs: 100 } }),
    ['FAULT'],
    'an end with status 0 that nobody asked for'
  )
  t.same(
    listFaults({ signals: signals(['SIGHUP', 90]), end: { code: null, signal: 'SIGHUP', atMs: 100 } }),
    ['FAULT'],
    'an end by SIGHUP'
  )
  t.same(
    listFaults({ end: { code: null, signal: 'SIGKILL', atMs: 100 } }),
    ['FAULT'],
    'a kill that was not sent by the soak'
  )
  t.same(
    listFaults({ signals: stop, end: { code: null, signal: 'SIGTERM', atMs: 110 } }),
    ['FAULT'],
    'a stop that ends by the signal'
  )
  t.same(
    listFaults({ signals: stop, end: { code: 143, signal: null, atMs: 110 } }),
    ['FAULT'],
    'a stop that ends with another status'
  )
  t.same(
    listFaults({ signals: signals(['SIGTERM', 100], ['SIGKILL', 3101]), end: { code: null, signal: 'SIGKILL', atMs: 3110 } }),
    ['FAULT'],
    'a drain beyond the grace period'
  )
  t.same(listFaults({ peakMemoryMb: 401 }), ['FAULT'], 'more memory than the machine has')
  t.same(listFaults({ errors: ['{"level":"error","message":"unexpected error"}'] }), ['FAULT'], 'an error in the log')
  t.same(listFaults({ lastReadyAtMs: undefined }), ['FAULT'], 'a process that is never ready')
  t.same(listFaults({ lastReadyAtMs: -2500 }), ['FAULT'], 'a process that is no longer ready')
  t.same(listFaults({ signals: stop, end: { code: 0, signal: null, atMs: 2900 } }), [], 'a stop')
  t.same(
    listFaults({ signals: signals(['SIGTERM', 100], ['SIGKILL', 900]), end: { code: null, signal: 'SIGKILL', atMs: 910 } }),
    [],
    'a kill within a drain'
  )
  t.same(
    listFaults({ signals: signals(['SIGTERM', 100], ['SIGSTOP', 200], ['SIGKILL', 3101]), end: { code: null, signal: 'SIGKILL', atMs: 3110 } }),
    [],
    'a drain that was frozen'
  )
  t.same(
    listFaults({ signals: signals(['SIGTERM', 100], ['SIGKILL', 3101]), slowed: [{ fromMs: 2000, toMs: 2500 }], end: { code: null, signal: 'SIGKILL', atMs: 3110 } }),
    [],
    'a drain without processor time'
  )
  t.same(listFaults({ startedAtMs: 500, lastReadyAtMs: undefined }), [], 'a process that has just been started')
})

t.test('the checker recognizes requests lost around planned work and excuses what the rules do not count', async t => {
  const stop: SoakDisruption = { type: 'stop', id: 'h', fromMs: 120, toMs: 2900 }
  const cut = { status: undefined, signature: undefined, answer: undefined, isComplete: false } as const
  const listLost = (
    disruptions: readonly SoakDisruption[],
    part: Partial<SoakRequest> = {},
    executed: Partial<SoakExecution> = {}
  ): readonly string[] => {
    return listRules({
      ...replaceRequest('safe', { ...cut, ...part }),
      ...replaceExecution('safe', executed),
      disruptions: [...validRecords.disruptions, ...disruptions]
    })
  }
  t.same(listLost([stop]), ['LOST'], 'at a stop')
  t.same(listLost([stop], { status: 200, signature: 'sig-safe' }), ['LOST'], 'within an answer')
  t.same(listLost([{ ...stop, type: 'reload' }], { sentAtMs: 130 }), ['LOST'], 'after SIGHUP')
  t.same(listLost([{ ...stop, type: 'configuration', id: 'shop', toMs: 120 }]), ['LOST'], 'beside a configuration')
  t.same(
    listLost([stop, { type: 'store', id: '', fromMs: 0, toMs: 500 }]),
    ['LOST'],
    'a plain request while the store is disrupted'
  )
  t.same(
    listLost([stop], {}, { requestId: 'once', signature: 'sig-once' }).includes('LOST'),
    false,
    'not executed and cut at once'
  )
  t.same(
    listLost([stop], { endedAtMs: 350 }, { requestId: 'once', signature: 'sig-once' }).includes('LOST'),
    true,
    'not executed and cut later'
  )
  for (const [toMs, isLost] of [[190, true], [340, false]] as const) {
    const records = {
      ...replaceRequest('safe', { ...cut, endedAtMs: 350 }),
      ...replaceExecution('safe', { requestId: 'once', signature: 'sig-once' }),
      disruptions: [...validRecords.disruptions, stop],
      heldUp: [{ fromMs: 150, toMs }]
    }
    t.same(listRules(records).includes('LOST'), isLost, `not executed and cut later, soak held up until ${toMs} ms`)
  }
  const slow: SoakDisruption = { type: 'slow', id: 'h', fromMs: 0, toMs: 500 }
  t.same(
    listLost([stop, slow], { endedAtMs: 350 }, { requestId: 'once', signature: 'sig-once' }).includes('LOST'),
    false,
    'not executed at a host without processor time'
  )
  t.same(listLost([stop, slow]), ['LOST'], 'executed at a host without processor time')
  t.same(listLost([stop], { endedAtMs: 2700 }, { endedAtMs: 2650 }), [], 'at the deadline')
  t.same(
    listLost([stop], { endedAtMs: 2690, sentAtMs: 700 }, { endedAtMs: 2650 }),
    [],
    'still at work in the last sixth of the grace period'
  )
  t.same(
    listLost([stop], { endedAtMs: 2690, sentAtMs: 700 }, { endedAtMs: 2600 }),
    ['LOST'],
    'finished before the last sixth of the grace period'
  )
  t.same(listLost([stop], { hasLeft: true }), [], 'the client has left')
  t.same(listLost([stop], { writtenAtMs: undefined }), [], 'not sent whole')
  t.same(listLost([stop], { isAllowed: false }), ['ROUTE'], 'not allowed')
  t.same(listLost([{ ...stop, id: 'other' }]), [], 'a stop of another host')
  t.same(listLost([{ ...stop, type: 'reload' }]), [], 'sent before SIGHUP')
  t.same(
    listLost([{ ...stop, type: 'configuration', id: 'shop', toMs: 120 }], { endedAtMs: 1900 }),
    [],
    'beside a configuration, late in its time'
  )
  for (const [type, id] of [['host', 'h'], ['upstream', 'i-1']] as const) {
    t.same(listLost([stop, { type, id, fromMs: -2800, toMs: -2800 }]), [], `disruption of ${id}`)
  }
  t.same(
    listLost([stop, { type: 'host', id: 'h', fromMs: -3000, toMs: -2950 }]),
    ['LOST'],
    'disruption that is long past'
  )
  t.same(listLost([stop, { type: 'host', id: 'other', fromMs: 110, toMs: 110 }]), ['LOST'], 'another host is killed')
  t.same(
    listLost([stop, { type: 'host', id: 'other', fromMs: 110, toMs: 110 }], { status: 200, signature: 'sig-safe' }),
    [],
    'another host is killed within the answer'
  )
})

t.test('the checker recognizes requests that are lost on kept connections, from the fourth on', async t => {
  const lose = (
    count: number,
    part: Partial<SoakRequest> = {},
    disruptions: readonly SoakDisruption[] = []
  ): readonly string[] => {
    const cut = { status: undefined, signature: undefined, isComplete: false, ...part }
    const ids = Array.from({ length: count }, (_, i) => `lost-${i}`)
    return listRules({
      requests: [
        ...validRecords.requests,
        ...ids.map(id => buildRequest('safe', { id, path: `/safe/${id}`, ...cut }))
      ],
      executions: [
        ...validRecords.executions,
        ...ids.map(id => buildExecution('safe', { requestId: id, path: `/safe/${id}` }))
      ],
      disruptions: [...validRecords.disruptions, ...disruptions]
    })
  }
  t.same(lose(4), ['LOST', 'LOST', 'LOST', 'LOST'])
  t.same(lose(3), [], 'three')
  t.same(lose(4, { isKept: false }), [], 'new connections')
  t.same(lose(4, { status: 503 }), [], 'answered')
  for (const type of ['start', 'stop', 'host', 'slow'] as const) {
    t.same(lose(4, {}, [{ type, id: 'h', fromMs: -4200, toMs: -2800 }]), [], `${type} of the host`)
  }
  t.same(lose(4, {}, [{ type: 'store', id: '', fromMs: -2800, toMs: -2800 }]), [], 'the store is disrupted')
  t.same(lose(4, {}, [{ type: 'upstream', id: 'i-1', fromMs: -2800, toMs: -2800 }]), [], 'the upstream is disrupted')
  t.same(
    lose(4, {}, [{ type: 'upstream', id: 'i-2', fromMs: -2800, toMs: -2800 }]).length,
    4,
    'another upstream is disrupted'
  )
})

t.test('the checker recognizes what takes effect too late', async t => {
  const older: SoakDisruption = { type: 'configuration', id: 'shop', fromMs: startedAtMs, toMs: startedAtMs }
  const listLate = (disruptions: readonly SoakDisruption[], part: Partial<SoakRecords> = {}): readonly string[] => {
    return listRules({ disruptions: [older, ...disruptions], ...part })
  }
  const next: SoakDisruption = { type: 'configuration', id: 'shop-b', fromMs: -1899, toMs: -1899 }
  t.same(
    listLate([{ ...next, fromMs: -1939 }], replaceRequest('once', { sentAtMs: 60 })).filter(rule => rule === 'CONFIG').length,
    1,
    'an older configuration'
  )
  t.same(listLate([next]), [], 'a configuration that may not be in force yet')
  t.same(
    listLate([{ ...next, fromMs: -5000 }, { type: 'start', id: 'h', fromMs: 0, toMs: 0 }]),
    [],
    'a host that is not in touch'
  )
  t.same(
    listLate([{ type: 'leaving', id: 'i-1', fromMs: -1891, toMs: Infinity }]).every(rule => rule === 'DRAIN'),
    true,
    'an upstream that is leaving'
  )
  t.same(
    listLate([{ type: 'leaving', id: 'i-1', fromMs: -1889, toMs: Infinity }]),
    [],
    'an upstream that has just begun to leave'
  )
  const evacuation: SoakDisruption = { type: 'evacuation', id: 'zone-1', fromMs: -1391, toMs: 500 }
  t.same(new Set(listLate([evacuation])), new Set(['EVAC']), 'an evacuated failure domain')
  t.same(listLate([{ ...evacuation, fromMs: -1389 }]), [], 'an evacuation that may not be in force yet')
  t.same(listLate([{ ...evacuation, toMs: 109 }]), [], 'an evacuation that has ended')
  t.same(listLate([{ ...evacuation, id: 'zone-2' }]), [], 'an evacuation of another failure domain')
  const left = validRecords.requests.map(request => ({ ...request, hasLeft: true, sentAtMs: -500, endedAtMs: -400 }))
  t.same(listLate([], { requests: left }).filter(rule => rule === 'GONE').length, 1, 'clients that have left')
  const refused = Array.from({ length: 6 }, (_, i) => {
    return buildRequest('safe', { id: `x${i}`, status: 400, signature: undefined })
  })
  t.same(
    listRules({ requests: refused }).includes('DENIED'),
    true,
    'refused for good'
  )
  t.same(listRules(replaceRequest('safe', { answeredId: 'once' })), ['MIXED'], 'the answer that names another request')
})

t.test('the checker recognizes streams of two versions, and resumed streams that do not go on', async t => {
  const engines = ['v1', 'v1', 'v2'].map(version => ({ version, startedAtMs: startedAtMs - 5000, leavesAtMs: Infinity }))
  const origin = buildRequest('stream', { id: 'begun', signature: 'sig-begun', answer: stream('begun', 3), isComplete: false, hasLeft: true })
  const buildResumption = (i: number, part: Partial<SoakRequest> = {}): SoakRequest => {
    const id = `resumed-${i}`
    const answer = stream(id, 5, { lastEventId: 3 })
    return buildRequest('stream', { id, resumedId: 'begun', lastEventId: 3, answer, signature: `sig-${id}`, ...part })
  }
  const listResumed = (resumed: readonly SoakRequest[], part: Partial<SoakRecords> = {}): readonly string[] => listRules({
    engines,
    requests: [...validRecords.requests, origin, ...resumed],
    executions: [
      ...validRecords.executions,
      ...[origin, ...resumed].map(({ id, path }) => buildExecution('stream', { requestId: id, path, signature: `sig-${id}` }))
    ],
    ...part
  })
  const refused = { status: 503, signature: undefined, answer: '' } as const
  const refusals = Array.from({ length: 12 }, (_, i) => buildResumption(i, refused))
  const otherVersion = stream('resumed-0', 5, { lastEventId: 3, version: 'v2' })
  t.same(listResumed([buildResumption(0)]), [], 'a stream that goes on')
  t.same(listResumed([buildResumption(0, { answer: otherVersion })]), ['ORDER'], 'a stream that goes on at another version')
  t.same(listResumed([buildResumption(0, { answer: stream('resumed-0', 8) })]), ['ORDER'], 'a stream that begins anew')
  t.same(listResumed(refusals), ['LOST'], 'streams that do not go on')
  t.same(listResumed(refusals.slice(1)), [], 'fewer of them')
  t.same(listResumed(refusals, { engines: engines.slice(1) }), [], 'one engine of their version')
})

t.test('the checker recognizes hosts that stop answering requests of sound services beside one that pours', async t => {
  const pouring: SoakDisruption = { type: 'pouring', id: 'other', fromMs: 1000, toMs: 2000 }
  const faulty: SoakDisruption = { type: 'upstream', id: 'i-2', fromMs: 1000, toMs: 2000 }
  const build = (count: number, part: Partial<SoakRequest> = {}): readonly SoakRequest[] => Array.from({ length: count }, () => {
    return buildRequest('safe', { sentAtMs: 1500, endedAtMs: 4000, status: undefined, answer: '', hasLeft: true, isComplete: false, ...part })
  })
  const listLosses = (records: Partial<SoakRecords>): readonly string[] => listRules({
    disruptions: [...validRecords.disruptions, pouring, faulty],
    ...records
  }).filter(rule => rule === 'LOST')
  t.equal(listLosses({ requests: build(4) }).length, 4, 'four requests that are not answered within their time')
  t.same(listLosses({ requests: build(3) }), [], 'as many as on kept connections')
  t.same(listLosses({ requests: build(4, { endedAtMs: 1900 }) }), [], 'clients that leave before')
  t.same(listLosses({ requests: build(4, { status: 200 }) }), [], 'answers that have begun')
  t.same(listLosses({ requests: build(4), heldUp: [{ fromMs: 2000, toMs: 2300 }] }), [], 'a soak that stood still')
  t.same(
    listLosses({ requests: build(4), disruptions: [...validRecords.disruptions, pouring, { ...faulty, id: 'i-1' }] }),
    [],
    'requests of the service that pours'
  )
})
