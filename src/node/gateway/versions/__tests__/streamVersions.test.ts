import t from 'tap'
import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { MemoryStore } from '../../../../../playground/fakes/memoryStore.js'
import { StoreEra } from '../../store/storeEra.js'
import { StreamVersions } from '../streamVersions.js'
import { versionConstants } from '../constants.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'

const service = 'llm'
const logger = createSilentLogger()
const metrics = createMemoryMetrics()
const { signal } = new AbortController()

/** A store, and hosts that see the same upstreams of a service; `served` are the versions of these. */
function createHosts (count: number) {
  const store = new MemoryStore()
  const clock = new VirtualClock()
  const state = { served: ['v1', 'v1', 'v2'] }
  const hostIds = Array.from({ length: count }, (_, i) => `host-${i}`)
  const hosts = hostIds.map(hostId => {
    const storeEra = new StoreEra(logger, metrics)
    storeEra.observeAnswer(store.era, undefined)
    const options = { store, storeEra, prefix: 'streams/', clock, timers: clock, logger, metrics }
    const fleet = { countHosts: () => count, hostId, listHostIds: () => hostIds }
    const versions = new StreamVersions({ ...options, ...fleet, listVersions: () => state.served })
    versions.start()
    return { versions, storeEra }
  })
  t.teardown(() => { for (const { versions } of hosts) versions.stop() })
  const start = async (host: number, id: string, version: string): Promise<boolean> => {
    const isAdmitted = hosts[host]!.versions.admitStart(service, id, version)
    await clock.runFor(200)
    return await isAdmitted
  }
  const resume = async (host: number, id: string) => await hosts[host]!.versions.findOrigin(service, id, signal)
  return { store, clock, state, hosts, start, resume }
}

t.test('any host knows at which version a stream began', async t => {
  const { store, start, resume } = createHosts(2)
  t.ok(await start(0, 'a', 'v1'))
  t.ok(await start(0, 'b', 'v2'))
  const writesBefore = store.writeCount
  t.ok(await start(1, 'c', 'v1'))
  t.equal(store.writeCount, writesBefore, 'streams of the base version do not wait for a record')
  t.matchSnapshot([await resume(0, 'b'), await resume(1, 'a'), await resume(1, 'b'), await resume(0, 'c')])
  t.ok(await start(0, 'b', 'v1'), 'a second attempt at another version, before the first event')
  t.matchSnapshot(await resume(1, 'b'))
})

t.test('guards against a stream without a record that another host continues at the base version', async t => {
  const { store, clock, state, hosts, start, resume } = createHosts(2)
  await start(0, 'a', 'v1')
  store.isDown = true
  const isAdmitted = hosts[0]!.versions.admitStart(service, 'b', 'v2')
  await clock.runFor(2000)
  t.notOk(await isAdmitted)
  t.notOk(await start(0, 'c', 'v2').then(async () => await start(0, 'd', 'v2')))
  t.equal(hosts[0]!.versions.findRequiredVersion(service), 'v1')
  state.served = ['v2']
  t.ok(await start(0, 'e', 'v2'), 'the base version is gone, so nobody continues the stream there')
  t.equal((await hosts[1]!.versions.findOrigin(service, 'e', signal)).type, 'unknown')
  store.isDown = false
  await clock.runFor(2 * versionConstants.writeRetryMs)
  t.match(await resume(1, 'e'), { version: 'v2', source: 'record' }, 'recorded late')
})

t.test('guards against streams whose records a restore of the store has lost', async t => {
  const { store, clock, hosts, start, resume } = createHosts(2)
  await start(0, 'a', 'v2')
  await start(0, 'b', 'v1')
  await clock.runFor(versionConstants.baseRecordDelayMs)
  store.applyRestore('streams/base/')
  for (const { storeEra } of hosts) storeEra.observeAnswer(store.era, undefined)
  t.equal((await resume(1, 'a')).type, 'unknown')
  await clock.runFor(versionConstants.restoreMs)
  t.match(await resume(1, 'a'), { version: 'v2', source: 'record' })
  t.match(await resume(1, 'b'), { version: 'v1', source: 'record' })
  t.equal((await resume(1, 'never recorded')).type, 'unknown', 'its host may be lost with its record')
  await clock.runFor(versionConstants.streamLifetimeMs)
  t.match(await resume(1, 'never recorded'), { version: 'v1', source: 'base' }, 'no older stream is left')
})

t.test('guards against a refusal of a stream whose record is known while the store cannot be read', async t => {
  const { store, start, resume } = createHosts(2)
  await start(0, 'a', 'v1')
  await start(0, 'b', 'v2')
  await resume(1, 'b')
  store.isDown = true
  t.match(await resume(1, 'b'), { version: 'v2', source: 'record' })
  t.equal((await resume(1, 'a')).type, 'unknown', 'it may have been recorded since')
})

t.test('guards against a write that is done late and takes newer records away', async t => {
  const { store, clock, hosts, start, resume } = createHosts(2)
  await start(0, 'a', 'v2')
  store.isLate = true
  const unanswered = hosts[0]!.versions.admitStart(service, 'b', 'v2')
  await clock.runFor(1)
  store.isLate = false
  await clock.runFor(2 * versionConstants.writeRetryMs)
  t.ok(await unanswered, 'repeated')
  t.ok(await start(0, 'c', 'v2'))
  t.ok(await start(0, 'b', 'v1'), 'a second attempt')
  store.applyLateWrites()
  t.match(await resume(1, 'c'), { version: 'v2', source: 'record' })
  t.match(await resume(1, 'b'), { version: 'v1', source: 'record' })
})

t.test('guards against streams that begin without a record because the answer to a write is lost', async t => {
  const { store, clock, state, hosts, start, resume } = createHosts(2)
  await start(0, 'a', 'v1')
  state.served = ['v2']
  store.isSilent = true
  const isAdmitted = hosts[0]!.versions.admitStart(service, 'b', 'v2')
  await clock.runFor(1)
  store.isSilent = false
  await clock.runFor(versionConstants.writeRepeatMs + 100)
  t.match(await resume(1, 'b'), { version: 'v2', source: 'record' }, 'recorded by a second write')
  t.ok(await isAdmitted)
})

t.test('the base version changes when no stream of the old one can be resumed any more', async t => {
  const { store, clock, state, hosts, start, resume } = createHosts(2)
  await start(0, 'a', 'v1')
  state.served = ['v2', 'v2']
  await clock.runFor(versionConstants.streamLifetimeMs)
  t.match(await resume(1, 'b'), { version: 'v1' })
  for (const { versions } of hosts) versions.applySnapshot(store.listItems())
  await clock.runFor(2 * versionConstants.checkMs)
  t.match(await resume(1, 'b'), { version: 'v1' }, 'not known while the store was not followed')
  await clock.runFor(versionConstants.streamLifetimeMs)
  t.match(await resume(1, 'b'), { version: 'v2' })
})
