import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('host processes violate no rule under series of signals and pipelined requests', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  const { program } = product
  const options = { hosts: 4, clients: 6, pipeliningClients: 6, faults: 0, signals: 10, changes: 0, faultMs: 6000 }
  const regressions = soakRegressions.filter(({ signals }) => signals !== undefined)
  for (const run of [{ seed: 9190 }, { seed: 9002, faults: 6 }, ...regressions]) {
    const result = await runSoak({ program, ...options, ...run })
    t.same(result.violations, [], `seed ${result.seed}: ${result.served} of ${result.requests} served`)
  }
})
