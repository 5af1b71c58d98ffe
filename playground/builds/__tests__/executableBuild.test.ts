import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, symlinkSync } from 'node:fs'
import { join, resolve } from 'node:path'
import t from 'tap'
import { TestCheckout } from '../testCheckout.js'

t.test('guards against a build of the executable that fails while the executable runs', { timeout: 110_000 }, async t => {
  const checkout = new TestCheckout()
  t.teardown(() => { checkout.remove() })
  symlinkSync(resolve('node_modules'), join(checkout.folder, 'node_modules'))
  mkdirSync(join(checkout.folder, 'dist'))
  checkout.writeText('dist/executable.cjs', "console.log('first'); setInterval(() => {}, 1000)")
  t.match(await checkout.runNode('scripts/buildExecutable.mjs'), { status: 0 })
  const startExecutable = (): ChildProcess => {
    const executable = checkout.startProgram('dist/lycheetrack')
    t.teardown(() => executable.kill('SIGKILL'))
    return executable
  }
  const running = startExecutable()
  await once(running.stdout!, 'data')
  checkout.writeText('dist/executable.cjs', "console.log('second')")
  t.match(await checkout.runNode('scripts/buildExecutable.mjs'), { status: 0 })
  t.equal(running.exitCode, null)
  const [output] = await once(startExecutable().stdout!, 'data')
  t.equal(String(output), 'second\n')
})
