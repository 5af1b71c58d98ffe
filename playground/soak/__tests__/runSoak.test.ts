import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('host processes violate no rule under overlapping faults', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  for (const seed of [1, ...soakRegressions.map(regression => regression.seed)]) {
    const result = await runSoak({ program: product.program, seed, hosts: 3, clients: 8, faults: 8, faultMs: 6000 })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})
