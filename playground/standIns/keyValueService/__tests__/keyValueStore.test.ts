import fc from 'fast-check'
import t from 'tap'
import type { KeyValueChange } from '../../../../src/types/keyValueChange.js'
import { KeyValueStore } from '../keyValueStore.js'

t.test('refuses a write whose expected version is not the stored one', t => {
  const store = new KeyValueStore()
  t.same(store.writeEntry('a', 0, 'one', undefined, 0), { swapped: true, version: 1 })
  t.same(store.writeEntry('a', 0, 'two', undefined, 0), { swapped: false, version: 1 })
  t.same(store.writeEntry('a', 1, 'two', undefined, 0), { swapped: true, version: 2 })
  t.end()
})

// If versions restarted, a writer with an old version could overwrite a key that was deleted and created again.
t.test('continues the versions of a key after its deletion', t => {
  const store = new KeyValueStore()
  store.writeEntry('a', 0, 'one', undefined, 0)
  store.removeEntry('a', 1, 0)
  t.same(store.writeEntry('a', 0, 'two', undefined, 0), { swapped: true, version: 3 })
  t.same(store.writeEntry('a', 1, 'stale', undefined, 0), { swapped: false, version: 3 })
  t.end()
})

t.test('removes the keys of a lease when it expires; a renewal extends the lease', t => {
  const store = new KeyValueStore()
  const leaseId = store.grantLease(100, 0)
  store.writeEntry('held', 0, 'x', leaseId, 10)
  t.ok(store.updateLease(leaseId, 90))
  store.removeExpired(150)
  t.ok(store.readEntry('held'))
  store.removeExpired(190)
  t.equal(store.readEntry('held'), undefined)
  t.notOk(store.updateLease(leaseId, 191), 'an expired lease cannot be renewed')
  t.notOk(store.writeEntry('held', 0, 'x', leaseId, 192).swapped, 'a write under an expired lease is refused')
  t.end()
})

t.test('keeps a key that was rewritten without a lease when its former lease expires', t => {
  const store = new KeyValueStore()
  const leaseId = store.grantLease(100, 0)
  store.writeEntry('a', 0, 'x', leaseId, 0)
  store.writeEntry('a', 1, 'y', undefined, 0)
  store.removeExpired(1000)
  t.equal(store.readEntry('a')?.value, 'y')
  t.end()
})

// A watcher that missed or reordered a change would act on outdated state.
t.test('a watch from any revision ends in the state of the store', t => {
  const step = fc.record({ key: fc.constantFrom('a/1', 'a/2', 'b/1'), remove: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.nat(60), (steps, from) => {
    const store = new KeyValueStore(10)
    const seen = new Map<string, string>()
    const revisions: number[] = []
    let started = false
    const observe = (change: KeyValueChange): void => {
      revisions.push(change.revision)
      if (change.value === null) seen.delete(change.key)
      else seen.set(change.key, change.value)
    }
    const start = (): void => {
      started = true
      store.listEntries('a/').forEach(entry => seen.set(entry.key, entry.value))
    }
    let revision = 0
    steps.forEach(({ key, remove }, index) => {
      if (index === from) { start(); revision = store.revision }
      const version = store.readEntry(key)?.version ?? 0
      if (remove) store.removeEntry(key, version, 0)
      else store.writeEntry(key, version, String(index), undefined, 0)
    })
    if (!started) { start(); revision = store.revision }
    store.watchChanges('a/', revision, observe)
    const expected = new Map(store.listEntries('a/').map(entry => [entry.key, entry.value]))
    const isOrdered = revisions.every((value, index) => value > (revisions[index - 1] ?? revision))
    return isOrdered && JSON.stringify([...seen].sort()) === JSON.stringify([...expected].sort())
  }))
  t.end()
})
