import t from 'tap'
import { createTestDirectory } from './createTestDirectory.js'
import { LimitShare } from '../../upstreams/limitShare.js'
import { upstreamConstants } from '../../upstreams/constants.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { UpstreamCondition } from '../upstreamCondition.js'
import type { UpstreamEntry } from '../../model/upstreamEntry.js'

const service = 'shop'
const entry: UpstreamEntry = { id: 'i-1', service, address: '127.45.1.1:7000', failureDomain: 'a', version: 'v1', slots: 4, isDraining: false, startedAtMs: 1 }

t.test('guards against a reason to hold back an upstream that its description leaves out', async t => {
  const clock = new VirtualClock()
  const directory = createTestDirectory(clock)
  directory.applyEntry(entry)
  const state = directory.find(entry.id)!
  const nowMs = clock.readMonotonicMs()
  t.same(directory.describeBlocks(entry.id), [])
  t.same(directory.describeBlocks('i-unknown'), [])
  state.backoff.observeAnswer(700, nowMs)
  for (let i = 0; i < upstreamConstants.protocolErrorsToPause; i++) state.protocolErrorPause.onProtocolError(nowMs)
  for (let i = 0; i < upstreamConstants.failuresToEject; i++) state.onFailure(nowMs)
  state.limit = { requestsPerSecond: 2, endsAtMs: nowMs + 60_000, share: new LimitShare(2, nowMs) }
  directory.applyEntry({ ...entry, isDraining: true })
  t.same(directory.describeBlocks(entry.id), [
    { condition: 'draining', waitMs: Infinity },
    { condition: 'backoff', waitMs: 700 },
    { condition: 'protocol-error', waitMs: upstreamConstants.protocolErrorPauseMs },
    { condition: 'ejected', waitMs: upstreamConstants.ejectMs },
    { condition: 'limit', waitMs: 500 }
  ])
})

t.test('guards against a condition that choice, admission or the stage scheduler does not ask for', async t => {
  let waitMs: number | undefined = 300
  const held: UpstreamCondition = {
    name: 'held',
    findBlock: ({ entry }) => entry.id !== 'i-1' || waitMs === undefined ? undefined : { waitMs },
    recordSent: () => {}
  }
  const directory = createTestDirectory(new VirtualClock(), [held])
  directory.applyEntry(entry)
  const state = directory.find(entry.id)!
  t.same(directory.listUsable(service), [])
  t.same(directory.listOpen(), [])
  t.equal(directory.isAvailable(state), false)
  t.equal(directory.isOpen(state), false)
  t.equal(directory.computeBackoffWaitMs(service), 300)
  t.equal(directory.findDemands(entry.id)?.waitMs, 300)
  waitMs = Infinity
  t.equal(directory.computeBackoffWaitMs(service), upstreamConstants.unknownWaitMs, 'clients get a time that they can wait for')
  directory.applyEntry({ ...entry, id: 'i-2' })
  t.equal(directory.computeBackoffWaitMs(service), 0, 'another upstream takes requests')
  t.same(directory.listUsable(service).map(({ entry }) => entry.id), ['i-2'])
  waitMs = undefined
  t.equal(directory.listUsable(service).length, 2)
})

t.test('guards against requests that are sent to an upstream that a condition holds back since it was chosen', async t => {
  const held: UpstreamCondition = { name: 'held', findBlock: () => ({ waitMs: 1 }), recordSent: () => {} }
  const directory = createTestDirectory(new VirtualClock(), [held])
  directory.applyEntry(entry)
  const failure = await new Promise(resolve => {
    directory.find(entry.id)!.pool.send({ method: 'GET', path: '/', headers: [] }, { onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: resolve })
  })
  t.match(failure, { kind: 'no-connection', wasSent: false, detail: 'held back: held' })
})
