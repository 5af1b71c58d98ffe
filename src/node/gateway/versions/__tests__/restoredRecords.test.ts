import t from 'tap'
import { createTestFleet } from './createTestFleet.js'
import { versionConstants } from '../constants.js'

/** Time until the hosts have written lost records again, and a little more. */
const settleMs = versionConstants.restoreMs + 500

interface Checks {
  teardown (end: () => void): void
  ok (isTrue: boolean): void
}

/** Starts hosts, at the first of which a stream of each version begins after the copy of the store is taken. */
async function startFleet (t: Checks, hostIds = ['a', 'b', 'c']) {
  const fleet = createTestFleet()
  t.teardown(() => { fleet.stop() })
  for (const hostId of hostIds) fleet.addHost(hostId)
  await fleet.start(hostIds[0]!, 'before', 'v1')
  // By then the store names its era as complete.
  await fleet.runFor(2 * versionConstants.checkMs)
  const copy = fleet.store.listItems()
  t.ok(await fleet.start(hostIds[0]!, 'base', 'v1'))
  t.ok(await fleet.start(hostIds[0]!, 'other', 'v2'))
  await fleet.runFor(1000)
  return { ...fleet, copy }
}

t.test('guards against another version for streams of a host that is lost with a restore of the store', async t => {
  const { copy, killHost, restore, runFor, resume } = await startFleet(t)
  killHost('a')
  restore(copy)
  t.same([await resume('b', 'base'), await resume('b', 'other')], ['v1', 'v2'], 'at once, from what it has read')
  await runFor(settleMs)
  t.same([await resume('c', 'base'), await resume('c', 'other')], ['v1', 'v2'])
})

t.test('guards against another version at a host that starts after a restore', async t => {
  const { copy, addHost, killHost, restore, runFor, resume } = await startFleet(t)
  killHost('a')
  restore(copy)
  addHost('late')
  t.equal(await resume('late', 'other'), undefined, 'before its record is written again')
  await runFor(settleMs)
  t.same([await resume('late', 'base'), await resume('late', 'other')], ['v1', 'v2'], 'by the other hosts')
})

t.test('guards against another version when all that knew the record are lost', async t => {
  const { copy, addHost, killHost, restore, runFor, resume, start } = await startFleet(t, ['a', 'b'])
  killHost('a')
  restore(copy)
  killHost('b')
  addHost('late')
  await runFor(settleMs)
  t.same([await resume('late', 'base'), await resume('late', 'other')], [undefined, undefined], 'not known any more')
  await start('late', 'new', 'v1')
  await runFor(1000)
  addHost('later')
  await runFor(settleMs)
  t.same([await resume('later', 'new'), await resume('later', 'other')], ['v1', undefined])
  await runFor(versionConstants.streamLifetimeMs + 2 * versionConstants.checkMs)
  t.equal(await resume('later', 'never recorded'), 'v1', 'by then no stream from before can be resumed')
})

t.test('guards against another version when the host that is to write records again is lost, too', async t => {
  const { copy, addHost, killHost, restore, runFor, resume } = await startFleet(t, ['a', 'b', 'c', 'd'])
  killHost('a')
  restore(copy)
  addHost('late')
  for (const hostId of ['b', 'c']) {
    killHost(hostId)
    await runFor(300)
  }
  await runFor(settleMs)
  killHost('d')
  t.same([await resume('late', 'base'), await resume('late', 'other')], ['v1', 'v2'])
})

t.test('guards against another version at a host that was frozen or cut off over a restore', async t => {
  const { copy, cutOff, reachAgain, killHost, restore, runFor, start, resume } = await startFleet(t)
  cutOff('c')
  await start('a', 'unseen', 'v2')
  await runFor(1000)
  killHost('a')
  restore(copy)
  await runFor(settleMs)
  killHost('b')
  reachAgain('c')
  t.same([await resume('c', 'base'), await resume('c', 'other')], ['v1', 'v2'], 'from what it had read before')
  t.equal(await resume('c', 'unseen'), 'v2', 'written again by another host')
  t.equal(await resume('c', 'never recorded'), undefined)
})

t.test('guards against another version after two restores in a row', async t => {
  const { copy, addHost, killHost, restore, runFor, resume } = await startFleet(t)
  killHost('a')
  restore(copy)
  await runFor(500)
  restore(copy)
  addHost('late')
  t.same([await resume('b', 'base'), await resume('b', 'other')], ['v1', 'v2'])
  await runFor(settleMs)
  t.same([await resume('late', 'base'), await resume('late', 'other')], ['v1', 'v2'])
})

t.test('guards against another version after a restore from before the first record of the fleet', async t => {
  const { addHost, killHost, restore, runFor, start, resume } = await startFleet(t, ['a', 'b'])
  killHost('a')
  restore([])
  killHost('b')
  addHost('late')
  await runFor(settleMs)
  t.equal(await resume('late', 'other'), undefined)
  await start('late', 'new', 'v1')
  await runFor(settleMs)
  t.equal(await resume('late', 'other'), undefined, 'also when it chooses the base version')
})

t.test('guards against another version when all hosts are lost with a restore in the first seconds', async t => {
  const fleet = createTestFleet()
  t.teardown(() => { fleet.stop() })
  fleet.addHost('a')
  await fleet.start('a', 'first', 'v1')
  const copy = fleet.store.listItems()
  await fleet.start('a', 'other', 'v2')
  fleet.killHost('a')
  fleet.restore(copy)
  fleet.addHost('late')
  t.equal(await fleet.resume('late', 'other'), undefined)
  await fleet.runFor(settleMs)
  t.equal(await fleet.resume('late', 'other'), undefined)
})

t.test('guards against another version when the base version is chosen anew after a restore', async t => {
  const { state, store, addHost, killHost, restore, runFor, start, resume } = await startFleet(t, ['a', 'b'])
  const copy = store.listItems().filter(({ key }) => key.includes('complete-eras'))
  for (const hostId of ['a', 'b']) killHost(hostId)
  restore(copy)
  state.served = ['v1', 'v2', 'v2']
  addHost('late')
  await start('late', 'new', 'v2')
  await runFor(settleMs)
  t.equal(await resume('late', 'base'), undefined, 'began at the base version of that time')
})

t.test('guards against refusals after a restore in a service that has one version', async t => {
  const fleet = createTestFleet()
  t.teardown(() => { fleet.stop() })
  fleet.state.served = ['v1', 'v1']
  for (const hostId of ['a', 'b']) fleet.addHost(hostId)
  await fleet.start('a', 'before', 'v1')
  await fleet.runFor(2 * versionConstants.checkMs)
  const copy = fleet.store.listItems()
  const writes = fleet.store.writeCount
  await fleet.start('a', 'base', 'v1')
  await fleet.runFor(versionConstants.checkMs)
  t.equal(fleet.store.writeCount, writes, 'streams of the only version need no record')
  for (const hostId of ['a', 'b']) fleet.killHost(hostId)
  fleet.restore(copy)
  fleet.addHost('late')
  await fleet.resume('late', 'base')
  await fleet.runFor(settleMs)
  t.equal(await fleet.resume('late', 'base'), 'v1')
})

t.test('streams that run when a service gets its second version survive a restore', async t => {
  const fleet = createTestFleet()
  t.teardown(() => { fleet.stop() })
  fleet.state.served = ['v1', 'v1']
  for (const hostId of ['a', 'b']) fleet.addHost(hostId)
  await fleet.start('a', 'base', 'v1')
  fleet.state.served = ['v1', 'v1', 'v2']
  await fleet.runFor(2 * versionConstants.checkMs)
  fleet.killHost('a')
  fleet.restore(fleet.store.listItems())
  fleet.addHost('late')
  await fleet.runFor(settleMs)
  t.same([await fleet.resume('b', 'base'), await fleet.resume('late', 'base')], ['v1', 'v1'])
})
