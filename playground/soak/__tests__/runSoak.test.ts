import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { runSoak } from '../runSoak.js'
import { soakRegressions } from '../soakRegressions.js'

t.test('host processes violate no rule under overlapping faults', { timeout: 110_000 }, async t => {
  // The bundle is built outside dist because other tests start processes from dist at the same time.
  const folder = mkdtempSync(join(tmpdir(), 'lycheetrack-soak-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  execFileSync(process.execPath, ['scripts/bundle.mjs', '--product', folder, '--quiet'])
  for (const seed of [1, ...soakRegressions.map(regression => regression.seed)]) {
    const result = await runSoak({ program: join(folder, 'lycheetrack.cjs'), seed, hosts: 3, clients: 8, faults: 8, faultMs: 6000 })
    t.same(result.violations, [], `seed ${seed}: ${result.served} of ${result.requests} served`)
  }
})
