import { spawn, spawnSync } from 'node:child_process'
import { existsSync } from 'node:fs'
import t from 'tap'

// End-to-end test over real processes: a host is killed during an outage of the key-value service.
t.test('no invariant is violated when a host is killed during an outage of the key-value service', { timeout: 110_000 }, async t => {
  if (!existsSync('dist/playground/prove.cjs')) t.equal(spawnSync(process.execPath, ['scripts/bundle.mjs', '--quiet']).status, 0, 'bundled')
  const prove = spawn(process.execPath, ['dist/playground/prove.cjs', '--short'], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => prove.kill('SIGTERM'))
  let output = ''
  prove.stdout.on('data', chunk => { output += chunk })
  const code = await new Promise(resolve => prove.on('close', resolve))
  t.equal(code, 0, output)
  t.match(output, /1 passed, 0 failed\n$/)
})
