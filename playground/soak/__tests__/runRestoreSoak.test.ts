import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'

t.test('host processes violate no rule beside restores of the store, lost hosts and releases', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  const { program } = product
  const sizes = { hosts: 4, clients: 10, pipeliningClients: 2, faultMs: 6000 }
  const faults = { faults: 0, signals: 0, changes: 2, restores: 3 }
  for (const seed of [5031, 5032]) {
    const result = await runSoak({ program, ...sizes, ...faults, seed })
    t.same(result.violations, [], `seed ${seed}: ${result.wentOn} of ${result.resumed} resumed streams went on`)
  }
})
