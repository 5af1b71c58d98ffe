import t from 'tap'
import { createMemoryMetrics } from '../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../playground/fakes/createSilentLogger.js'
import { PlatformStore } from '../platformStore.js'
import { StoreHistoryLostError } from '../../../shared/storeHistoryLostError.js'
import { StoreEra } from '../../gateway/store/storeEra.js'
import { StoreHttpClient } from '../storeHttpClient.js'
import { StoreStandIn } from '../../../../playground/platform/storeStandIn.js'
import { StoreUnavailableError } from '../../../shared/storeUnavailableError.js'
import { StoreUncertainError } from '../../../shared/storeUncertainError.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

t.test('the client of the platform\'s store', async t => {
  const standIn = await new StoreStandIn().start()
  const storeEra = new StoreEra(createSilentLogger(), createMemoryMetrics())
  const link = new StoreHttpClient(standIn.address, createMemoryMetrics(), storeEra)
  const store = new PlatformStore(link, storeEra)
  const { signal } = new AbortController()
  t.teardown(() => {
    link.close()
    standIn.stop()
  })

  t.test('reads items and all pages of a prefix', async t => {
    t.equal(await store.readItem('a/none'), undefined)
    for (let i = 0; i < 8; i++) standIn.write(`a/${i}`, i)
    standIn.write('b/x', 9)
    const { items } = await store.readPrefix('a/')
    t.same(items.map(item => `${item.key}=${item.value.toString()}`), ['a/0=0', 'a/1=1', 'a/2=2', 'a/3=3', 'a/4=4', 'a/5=5', 'a/6=6', 'a/7=7'])
  })

  t.test('a watch returns writes and removals, and rejects when the history is lost', async t => {
    const { position } = await store.readPrefix('a/')
    const waiting = store.watchPrefix('a/', position, 2000, signal)
    standIn.write('a/new', 1)
    t.match(await waiting, { changes: [{ type: 'written', item: { key: 'a/new' } }] })
    standIn.remove('a/new')
    t.match((await store.watchPrefix('a/', position, 2000, signal)).changes.at(-1), { type: 'removed', key: 'a/new' })
    t.same((await store.watchPrefix('none/', position, 20, signal)).changes, [])
    standIn.removeHistory()
    // The client notices the closed connection before the next call.
    await new Promise(resolve => setTimeout(resolve, 30))
    await t.rejects(store.watchPrefix('a/', position, 100, signal), StoreHistoryLostError)
  })

  t.test('conditional writes and leases', async t => {
    const write = async (revision: number) => await store.writeConditionally({ conditions: [{ key: 'c', revision }], writes: [{ key: 'c', value: Buffer.from('v') }], removals: [] })
    t.equal(await write(0), true)
    t.equal(await write(0), false)
    const lease = await store.createLease(3000)
    t.equal(await store.updateLease(lease), true)
    await store.writeConditionally({ conditions: [], writes: [{ key: 'd', value: Buffer.from('v'), lease }], removals: ['c'] })
    await store.closeLease(lease)
    t.equal(await store.updateLease(lease), false)
    t.equal(await store.readItem('d'), undefined)
    t.equal(await store.readItem('c'), undefined)
  })

  t.test('a refused call changed nothing; a write whose response is lost may have taken effect', async t => {
    const write = async () => await store.writeConditionally({ conditions: [], writes: [{ key: 'w', value: Buffer.from('v') }], removals: [] })
    for (const fault of ['busy', 'many'] as const) {
      standIn.fault = fault
      await t.rejects(write(), StoreUnavailableError)
      await t.rejects(store.readItem('a'), StoreUnavailableError)
    }
    standIn.fault = 'reset'
    await t.rejects(write(), StoreUncertainError)
    await t.rejects(store.readItem('a'), StoreUnavailableError)
    standIn.fault = 'lost'
    await t.rejects(write(), StoreUncertainError)
    standIn.fault = 'none'
    t.ok(await store.readItem('w'))
  })

  t.test('guards against a listing whose pages are of different eras', async t => {
    const copy = standIn.createCopy()
    standIn.delayAnswer = async () => {
      standIn.delayAnswer = async () => {}
      standIn.applyCopy(copy)
    }
    await t.rejects(store.readPrefix('a/'), StoreHistoryLostError)
    t.equal((await store.readPrefix('a/')).position.era, storeEra.getCurrent())
  })

  t.test('guards against the use of a lease whose id was given out again', async t => {
    const copy = standIn.createCopy()
    const lease = await store.createLease(3000)
    standIn.applyCopy(copy)
    const other = await store.createLease(3000)
    t.equal(other.id, lease.id)
    await store.writeConditionally({ conditions: [], writes: [{ key: 'other', value: Buffer.from('v'), lease: other }], removals: [] })
    t.equal(await store.updateLease(lease), false)
    t.equal(await store.writeConditionally({ conditions: [], writes: [{ key: 'own', value: Buffer.from('v'), lease }], removals: [] }), false)
    await store.closeLease(lease)
    t.ok(await store.readItem('other'), 'the lease of the other owner goes on')
    standIn.applyCopy(standIn.createCopy())
    t.equal(await store.updateLease(other), false, 'the answer itself shows that the store was restored')
  })

  t.test('guards against late answers of an era that has ended', async t => {
    const copy = standIn.createCopy()
    const write = async (): Promise<unknown> => await store.writeConditionally({ conditions: [], writes: [{ key: 'late', value: Buffer.from('v') }], removals: [] })
    for (const [call, expected] of [[async (): Promise<unknown> => await store.readItem('a/1'), StoreUnavailableError], [write, StoreUncertainError]] as const) {
      let release = (): void => {}
      standIn.delayAnswer = async () => { await new Promise<void>(resolve => { release = resolve }) }
      const late = t.rejects(call(), expected)
      await new Promise(resolve => setTimeout(resolve, 50))
      const releaseLate = release
      standIn.applyCopy(copy)
      standIn.delayAnswer = async () => {}
      t.match(await store.readItem('a/1'), { key: 'a/1' })
      releaseLate()
      await late
    }
  })

  t.test('calls time out when the store does not respond', async t => {
    standIn.fault = 'silent'
    const startMs = Date.now()
    await t.rejects(store.readItem('a'), StoreUnavailableError)
    await t.rejects(store.watchPrefix('a/', { era: 1, revision: 1 }, 50, signal), StoreUnavailableError)
    t.ok(Date.now() - startMs < 4000)
    standIn.fault = 'none'
    t.match(await store.readItem('a/1'), { key: 'a/1' }, 'other connections work at once')
  })
})

t.test('guards against pages without end that a read of the store collects', { timeout: 20_000 }, async t => {
  const item = { key: 'a/1', value: 'x'.repeat(100_000), revision: 1 }
  const body = JSON.stringify({ items: [item], truncated: true, storeRevision: 1 })
  const standIn = await new UpstreamStandIn('i-store', (_, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  }).start()
  const storeEra = new StoreEra(createSilentLogger(), createMemoryMetrics())
  const link = new StoreHttpClient(standIn.address, createMemoryMetrics(), storeEra)
  t.teardown(() => {
    link.close()
    standIn.stop()
  })
  await t.rejects(new PlatformStore(link, storeEra).readPrefix('a/'), StoreUnavailableError)
})
