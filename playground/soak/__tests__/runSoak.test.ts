import t from 'tap'
import { buildProduct } from '../../platform/buildProduct.js'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('host processes violate no rule under overlapping faults', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  for (const seed of [1, ...soakRegressions.map(regression => regression.seed)]) {
    const result = await runSoak({ program: product.program, seed, hosts: 3, clients: 8, pipeliningClients: 0, faults: 8, signals: 0, faultMs: 6000 })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})

t.test('host processes violate no rule under series of signals, pipelined requests and large bodies', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  t.teardown(() => { product.remove() })
  for (const { seed, faults } of [{ seed: 9000, faults: 0 }, { seed: 9001, faults: 0 }, { seed: 9002, faults: 6 }]) {
    const result = await runSoak({ program: product.program, seed, hosts: 4, clients: 6, pipeliningClients: 6, faults, signals: 8, faultMs: 8000 })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})
