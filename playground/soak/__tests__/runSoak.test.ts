import { execFileSync } from 'node:child_process'
import t from 'tap'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('hosts as processes keep the promises under overlapping faults', { timeout: 110_000 }, async t => {
  execFileSync(process.execPath, ['scripts/bundle.mjs', '--quiet'])
  for (const seed of [1, ...soakRegressions.map(regression => regression.seed)]) {
    const result = await runSoak({ seed, hosts: 3, clients: 8, faults: 8, faultMs: 6000 })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})
