import { once } from 'node:events'
import { copyFileSync, existsSync, mkdirSync, readdirSync, rmSync, utimesSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { TestCheckout } from '../testCheckout.js'
import { waitUntil } from '../../fakes/waitUntil.js'

function createCheckout (t: Test): TestCheckout {
  const checkout = new TestCheckout()
  t.teardown(() => { checkout.remove() })
  return checkout
}

t.test('the build line of the deploy file', { timeout: 110_000 }, async t => {
  t.test('guards against builds at once that remove what the other one installs', async t => {
    const checkout = createCheckout(t)
    const first = checkout.runBuild()
    await waitUntil(() => checkout.listInstallations().length > 0)
    await delay(500)
    const results = await Promise.all([first, checkout.runBuild(), checkout.runBuild()])
    t.same(results.map(result => result.status), [0, 0, 0], JSON.stringify(results))
    t.equal(checkout.listInstallations().length, 1)
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'first\n' })
  })

  t.test('guards against a build with other packages than the lock file wants after an installation that failed', async t => {
    const checkout = createCheckout(t)
    t.equal((await checkout.runBuild()).status, 0)
    checkout.writeProgram('second')
    checkout.writeText('package-lock.json', '{"packages": {"node_modules/esbuild": {"version": "99.0.0"}}}')
    const future = new Date(Date.now() + 60_000)
    utimesSync(join(checkout.folder, 'package-lock.json'), future, future)
    t.match(await checkout.runBuild({ NPM_FAILS: '1' }), { status: 1, output: /ETARGET.*npm ci ended with status 1/s })
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'first\n' })
  })

  t.test('guards against packages that are missing though an installation ended, and older times of a changed lock file', async t => {
    const checkout = createCheckout(t)
    t.equal((await checkout.runBuild()).status, 0)
    rmSync(join(checkout.folder, 'node_modules/esbuild'))
    t.match(await checkout.runBuild(), { status: 0 })
    checkout.writeText('package-lock.json', '{"packages": {"node_modules/esbuild": {"version": "0.0.1"}}}')
    utimesSync(join(checkout.folder, 'package-lock.json'), 0, 0)
    t.match(await checkout.runBuild(), { status: 1, output: /the first is node_modules\/esbuild/ })
    t.match(checkout.listInstallations(), [/^ci --include=dev/, /^ci/, /^ci/])
  })

  t.test('guards against a build with the binaries of another kind of machine', async t => {
    const checkout = createCheckout(t)
    t.equal((await checkout.runBuild({ NPM_CPU: 'other' })).status, 0)
    t.match(await checkout.runBuild(), { status: 0, output: /the first is node_modules\/@esbuild/ })
    t.match(await checkout.runBuild(), { status: 0 })
    t.equal(checkout.listInstallations().length, 2)
  })

  t.test('guards against a build with packages that lack files', async t => {
    const checkout = createCheckout(t)
    t.equal((await checkout.runBuild()).status, 0)
    const folder = join(checkout.folder, 'node_modules/esbuild')
    rmSync(folder)
    mkdirSync(folder)
    copyFileSync('node_modules/esbuild/package.json', join(folder, 'package.json'))
    checkout.writeProgram('second')
    t.match(await checkout.runBuild(), { status: 0, output: /installing packages: .*bundle.mjs/ })
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'second\n' })
  })

  t.test('guards against an installation that cannot be renamed because target/ is on another file system', async t => {
    const checkout = createCheckout(t)
    const script = "import('./scripts/build/chooseWorkFolder.mjs').then(({ chooseWorkFolder }) => {" +
      "console.log(chooseWorkFolder('root', 'target', path => path), chooseWorkFolder('root', 'target', () => 1)) })"
    t.match(await checkout.runNode('-e', script), { status: 0, output: 'root target\n' })
  })

  t.test('guards against a home folder that cannot hold the cache of npm, and installations that were cut off long ago', async t => {
    const checkout = createCheckout(t)
    const abandoned = join(checkout.folder, 'target/.installation-abandoned')
    mkdirSync(join(abandoned, 'node_modules'), { recursive: true })
    utimesSync(abandoned, 0, 0)
    t.match(await checkout.runBuild({ HOME: join(checkout.folder, 'package.json') }), { status: 0, output: /without the cache of npm: ENOTDIR/ })
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'first\n' })
    t.notOk(existsSync(abandoned))
  })

  t.test('guards against a build that waits for one that was killed', async t => {
    const checkout = createCheckout(t)
    const killed = checkout.startBuild()
    await waitUntil(() => checkout.listInstallations().length > 0)
    killed.kill('SIGKILL')
    await once(killed, 'exit')
    t.match(await checkout.runBuild(), { status: 0, output: /waiting for another build/ })
    t.ok(existsSync(join(checkout.folder, 'target/lycheetrack.cjs')))
    const stopped = checkout.startBuild()
    await waitUntil(() => existsSync(join(checkout.folder, 'target/.build-lock')))
    stopped.kill('SIGTERM')
    await once(stopped, 'exit')
    t.notOk(readdirSync(join(checkout.folder, 'target')).includes('.build-lock'))
  })
})
