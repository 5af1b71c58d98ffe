import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('host processes violate no rule under overlapping faults', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  const { program } = product
  const options = { hosts: 3, clients: 8, pipeliningClients: 0, faults: 8, signals: 0, changes: 0, faultMs: 6000 }
  for (const run of [{ seed: 1 }, ...soakRegressions.filter(({ signals }) => signals === undefined)]) {
    const result = await runSoak({ program, ...options, ...run })
    t.same(result.violations, [], `seed ${result.seed}: ${result.served} of ${result.requests} served`)
  }
})
