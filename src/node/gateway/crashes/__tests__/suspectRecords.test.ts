import t from 'tap'
import { crashConstants } from '../constants.js'
import { SuspectRecords } from '../suspectRecords.js'

const { crashesToRefuse, crashesToRefuseSound, maxSuspects, recentlySoundMs, roundMs } = crashConstants
const { settleMs, soundMs, trialDelayFactor, trialDelayMs } = crashConstants

t.test('a part that ends upstreams is refused, and the sound parts of the same prompts are not', t => {
  const records = new SuspectRecords('part')
  records.recordAnswer(['common', 'session-1'], 0)
  const timeline = []
  for (let i = 0; i < 6; i++) {
    const nowMs = 5000 + i * 1000
    const suspects = records.listSuspects(['common', 'bad'], nowMs)
    records.recordCrash({ instance: `i-${i}`, ids: suspects }, nowMs)
    const refusal = records.findRefusal(['common', 'bad'], nowMs)
    timeline.push(`${i + 1} crashes: accused ${suspects.join(' ')}; ${JSON.stringify(refusal ?? 'admitted')}`)
  }
  t.equal(records.findRefusal(['common', 'session-1'], 10_000), undefined)
  t.matchSnapshot(timeline.join('\n'), 'refusals')
  t.end()
})

t.test('crashes that several hosts report count once for each instance', t => {
  const records = new SuspectRecords('part')
  const report = { crashes: [{ instance: 'i-1@7', ids: ['bad'] }], soundIds: [] }
  for (let i = 0; i < 5; i++) records.applyReport(report, 0)
  t.equal(records.findRefusal(['bad'], 0), undefined)
  records.applyReport({ crashes: [{ instance: 'i-1@9', ids: ['bad'] }], soundIds: [] }, 0)
  const refusal = records.findRefusal(['bad'], 0)
  t.match(refusal, { crashCount: crashesToRefuse }, 'an instance that started again under the same id counts')
  t.end()
})

t.test('a refused part is admitted again as soon as an answer on it begins anywhere', t => {
  const records = new SuspectRecords('part')
  for (const instance of ['i-1', 'i-2']) records.recordCrash({ instance, ids: ['part'] }, 0)
  t.match(records.findRefusal(['part'], settleMs - 1), { trialInMs: 1 })
  t.match(records.findRefusal(['part'], settleMs), { trialInMs: 0 }, 'a trial is due')
  records.applyReport({ crashes: [], soundIds: ['part'] }, settleMs)
  t.equal(records.findRefusal(['part'], settleMs), undefined)
  t.end()
})

t.test('a failed trial refuses the part for longer each time', t => {
  const records = new SuspectRecords('part')
  const delays = [0, 1, 2, 3].map(excess => {
    const lastAtMs = (crashesToRefuse + excess - 1) * roundMs
    for (let atMs = 0; atMs <= lastAtMs; atMs += roundMs) {
      records.recordCrash({ instance: `i-${atMs}`, ids: ['bad'] }, atMs)
    }
    return records.findRefusal(['bad'], lastAtMs)?.trialInMs
  })
  t.same(delays, [settleMs, trialDelayMs, trialDelayMs * trialDelayFactor, trialDelayMs * trialDelayFactor ** 2])
  t.end()
})

t.test('guards against refusing a part that many requests share when a failure domain is lost', t => {
  const records = new SuspectRecords('part')
  records.recordAnswer(['common'], 0)
  const nowMs = recentlySoundMs
  for (let i = 0; i < 10; i++) {
    records.recordCrash({ instance: `i-${i}`, ids: records.listSuspects(['common'], nowMs) }, nowMs)
  }
  t.equal(records.findRefusal(['common'], nowMs), undefined)
  t.end()
})

t.test('guards against refusing a new part for long when several of its upstreams are lost at once', t => {
  const records = new SuspectRecords('part')
  for (let i = 0; i < 6; i++) records.recordCrash({ instance: `i-${i}`, ids: ['new'] }, i)
  t.match(records.findRefusal(['new'], 5 + settleMs), { crashCount: 6, trialInMs: 0 })
  t.end()
})

t.test('a part that was sound and now ends upstreams is refused after more crashes', t => {
  const records = new SuspectRecords('part')
  records.recordAnswer(['common', 'turned'], 0)
  const crashes = [recentlySoundMs - 100, 3000, 4000, 5000, 6000].map((nowMs, i) => {
    records.recordAnswer(['common'], nowMs - 10)
    records.recordCrash({ instance: `i-${i}`, ids: records.listSuspects(['common', 'turned'], nowMs) }, nowMs)
    return records.findRefusal(['common', 'turned'], nowMs)
  })
  t.same(crashes.map(refusal => refusal?.id), [undefined, undefined, undefined, undefined, 'turned'])
  t.equal(crashes.at(-1)?.crashCount, crashesToRefuseSound)
  t.match(records.findRefusal(['turned'], soundMs + 1), { id: 'turned' })
  t.end()
})

t.test('a storm of parts that are no two alike displaces no part that requests still ask for', t => {
  const records = new SuspectRecords('part')
  for (const instance of ['i-1', 'i-2']) records.recordCrash({ instance, ids: ['bad'] }, 0)
  for (let i = 0; i < 3 * maxSuspects; i++) {
    if (i % 1000 === 0) records.takeExpiringCrashes('bad', 0)
    records.recordCrash({ instance: 'i-3', ids: [`storm-${i}`] }, 0)
  }
  t.match(records.findRefusal(['bad'], 0), { id: 'bad' })
  t.end()
})

t.test('evidence on a part that is still refused is reported again before it expires in the store', t => {
  const records = new SuspectRecords('part')
  for (const instance of ['i-1', 'i-2']) records.recordCrash({ instance, ids: ['bad'] }, 0)
  t.same(records.takeExpiringCrashes('bad', crashConstants.reportRefreshMs - 1), [])
  t.same(records.takeExpiringCrashes('bad', crashConstants.reportRefreshMs), [
    { instance: 'i-1', ids: ['bad'] },
    { instance: 'i-2', ids: ['bad'] }
  ])
  t.same(records.takeExpiringCrashes('bad', crashConstants.reportRefreshMs), [], 'once')
  t.end()
})

t.test('guards against refusing a shared part because one request with it comes again and again', t => {
  const parts = new SuspectRecords('part')
  const requests = new SuspectRecords('request')
  for (let i = 0; i < 6; i++) {
    parts.recordCrash({ instance: `i-${i}`, ids: ['shared'], requestHash: 'one' }, i * 1000)
    requests.recordCrash({ instance: `i-${i}`, ids: ['one'] }, i * 1000)
  }
  t.equal(parts.findRefusal(['shared'], 6000), undefined)
  t.match(requests.findRefusal(['one'], 6000), { kind: 'request', crashCount: 6 })
  parts.recordCrash({ instance: 'i-6', ids: ['shared'], requestHash: 'other' }, 7000)
  t.match(parts.findRefusal(['shared'], 7000), { kind: 'part', crashCount: 7 }, 'two requests accuse the part')
  t.end()
})

t.test('an answer clears a request, and it is not remembered as sound', t => {
  const requests = new SuspectRecords('request')
  t.equal(requests.hasSuspects(), false)
  requests.recordAnswer(['one'], 0)
  for (const instance of ['i-1', 'i-2']) requests.recordCrash({ instance, ids: ['one'] }, 1000)
  t.match(requests.findRefusal(['one'], 1000), { crashCount: crashesToRefuse })
  t.same(requests.recordAnswer(['one', 'other'], 2000), ['one'])
  t.equal(requests.findRefusal(['one'], 2000), undefined)
  t.end()
})

t.test('guards against a host that has just started and sends a crashing request as often as after its first crashes', t => {
  const running = new SuspectRecords('request')
  const reports: Array<{ readonly instance: string, readonly ids: readonly string[], readonly rounds: readonly number[] }> = []
  for (let i = 0; i < 4; i++) {
    const crash = { instance: `i-${i}`, ids: ['bad'] }
    running.recordCrash(crash, i * 20_000)
    reports.push({ ...crash, rounds: [running.countRounds('bad')] })
  }
  const nowMs = 60_000
  const started = new SuspectRecords('request')
  started.applyReport({ crashes: reports, soundIds: [] }, nowMs)
  t.equal(started.findRefusal(['bad'], nowMs)?.trialInMs, running.findRefusal(['bad'], nowMs)?.trialInMs)
  started.recordCrash({ instance: 'i-next', ids: ['bad'] }, nowMs + 1000)
  t.equal(started.countRounds('bad'), 5, 'the next crash is a round of its own')
  t.end()
})

t.test('crashes of one cause stay one round at a host that has just started, and reports without rounds count as one', t => {
  const started = new SuspectRecords('request')
  started.applyReport({ crashes: [1, 2, 3].map(i => ({ instance: `i-${i}`, ids: ['sound'], rounds: [1] })), soundIds: [] }, 0)
  t.equal(started.countRounds('sound'), 1)
  started.applyReport({ crashes: [{ instance: 'i-4', ids: ['sound'] }], soundIds: [] }, 0)
  t.equal(started.countRounds('sound'), 1)
  t.end()
})
