import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'

t.test('host processes violate no rule beside services that answer without end', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  const { program } = product
  const options = { hosts: 3, clients: 10, pipeliningClients: 2, faults: 0, signals: 3, changes: 0, pourings: 6, faultMs: 6000 }
  for (const seed of [6061, 6062]) {
    const result = await runSoak({ program, ...options, seed })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})
