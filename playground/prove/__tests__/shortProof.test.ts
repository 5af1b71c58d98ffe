import { spawn, spawnSync } from 'node:child_process'
import { existsSync } from 'node:fs'
import t from 'tap'

// Guards the whole path over real processes: a kill and an outage of the key-value service at once.
t.test('a host is killed and the key-value service is down, and no invariant is broken', { timeout: 110_000 }, async t => {
  if (!existsSync('dist/playground/prove.cjs')) t.equal(spawnSync(process.execPath, ['scripts/bundle.mjs', '--quiet']).status, 0, 'bundled')
  const bench = spawn(process.execPath, ['dist/playground/prove.cjs', '--short'], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => bench.kill('SIGTERM'))
  let output = ''
  bench.stdout.on('data', chunk => { output += chunk })
  const code = await new Promise(resolve => bench.on('close', resolve))
  t.equal(code, 0, output)
  t.match(output, /1 passed, 0 failed\n$/)
})
