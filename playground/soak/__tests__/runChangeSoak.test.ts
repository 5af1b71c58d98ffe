import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'

t.test('host processes violate no rule beside releases, losses of all hosts, taken ports and builds', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  const { program } = product
  const options = { hosts: 4, clients: 10, pipeliningClients: 2, faults: 0, signals: 0, changes: 5, faultMs: 6000 }
  for (const seed of [5011, 5012]) {
    const result = await runSoak({ program, ...options, seed })
    t.same(result.violations, [], `seed ${seed}: ${result.wentOn} of ${result.resumed} resumed streams went on`)
  }
})
