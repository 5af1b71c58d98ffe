import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import t from 'tap'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import { createTestDependencies } from './createTestDependencies.js'
import { listCommands } from '../listCommands.js'
import { runCommandLine } from '../runCommandLine.js'
import type { CommandLineDependencies } from '../commandLineDependencies.js'
import type { ResolvedSettings } from '../../settings/resolvedSettings.js'

const settings = ['--host-id', '007', '--failure-domain', 'quay-a', '--listen', '127.0.0.1:7101', '--peer-listen', '127.0.0.1:7201', '--key-value-url', 'http://127.0.0.1:1', '--host-list-url', 'http://127.0.0.1:2']
const environment = { LYCHEETRACK_OPERATOR_TOKEN: 'operator-token-of-the-test', LYCHEETRACK_PEER_SECRET: 'peer-secret-of-the-test' }

async function run (words: readonly string[], overrides: Partial<CommandLineDependencies> = {}) {
  const test = createTestDependencies(overrides)
  const status = await runCommandLine(['node', 'lycheetrack', ...words], test.dependencies)
  return { status, ...test }
}

t.test('the help of the program and of each subcommand shows its usage and an example', async t => {
  for (const command of listCommands()) {
    const names = command.usage.split(' ').filter(word => /^\w/.test(word))
    const help = t.capture(console, 'log')
    t.equal((await run([...names, '--help'])).status, 0)
    const text = help().map(call => call.args.join('')).join('')
    t.match(text, `$ lycheetrack ${command.usage}`)
    t.match(text, `$ lycheetrack ${command.example}`)
  }
  const help = t.capture(console, 'log')
  await run(['--help'])
  await run(['contract'])
  await run(['--version'])
  t.matchSnapshot(help().map(call => call.args.join('')).join('\n'))
})

t.test('all faults of a command line are reported at once with exit status 2', async t => {
  const { status, errors } = await run(['contract', 'apply', '--sever', 'x', '--wait', '--timeout-ms', '1s', '--token', ''])
  t.equal(status, 2)
  t.matchSnapshot(errors.join('\n'))
})

t.test('an unknown flag and invalid settings of serve are reported together', async t => {
  const { status, errors } = await run(['serve', ...settings, '--listn', 'x', '--probe-ms', '0'], { environment })
  t.equal(status, 2)
  t.match(errors, [/unknown flag --listn/, /--probe-ms .* is "0"/])
  t.equal(errors.length, 2)
})

t.test('an unknown command exits with status 2 and lists the known ones', async t => {
  t.match(await run([]), { status: 2, errors: [/no command given; commands: serve/] })
  t.match(await run(['serv']), { status: 2, errors: [/unknown command "serv"/] })
  t.match(await run(['contract', 'aply', 'x']), { status: 2, errors: [/unknown command "contract aply"; commands: contract apply/] })
  t.match(await run(['route', 'a', '--server', '127.0.0.1:1', '--server', '127.0.0.1:2']), { status: 2, errors: [/given 2 times/, /surplus argument "a"/] })
})

t.test('values that look like numbers reach the host as text', async t => {
  let seen: ResolvedSettings | undefined
  const host = { drain () {}, waitUntilStopped: async () => {} }
  const { status } = await run(['serve', ...settings], { environment, startEntryHost: async resolved => { seen = resolved; return host } })
  t.equal(status, 0)
  t.match(seen, { hostId: '007', peerSecret: environment.LYCHEETRACK_PEER_SECRET, probeMs: 1000 })
})

t.test('the first signal drains the host, further ones change nothing, and a second SIGINT exits at once', async t => {
  let drains = 0
  const host = { drain () { drains++ }, waitUntilStopped: () => new Promise<void>(() => {}) }
  const test = createTestDependencies({ environment, startEntryHost: async () => host })
  const running = runCommandLine(['node', 'lycheetrack', 'serve', ...settings], test.dependencies)
  await test.dependencies.wait(0)
  test.sendSignal('SIGTERM')
  t.equal(drains, 1)
  let status: number | undefined
  running.then(result => { status = result })
  for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM'] as const) test.sendSignal(signal)
  await new Promise(resolve => setTimeout(resolve, 20))
  t.equal(status, undefined)
  test.sendSignal('SIGINT')
  t.equal(await running, 130)
  t.equal(drains, 1)
  t.match(test.hostLog.map(line => JSON.parse(line)).at(-1), { message: 'process ends', status: 130, reason: 'second SIGINT' })
})

t.test('the program exits with status 0 when the drain has finished', async t => {
  let stop = (): void => {}
  const stopped = new Promise<void>(resolve => { stop = resolve })
  const test = createTestDependencies({ environment, startEntryHost: async () => ({ drain: () => stop(), waitUntilStopped: () => stopped }) })
  const running = runCommandLine(['node', 'lycheetrack', 'serve', ...settings], test.dependencies)
  await test.dependencies.wait(0)
  test.sendSignal('SIGINT')
  t.equal(await running, 0)
  t.match(test.hostLog.map(line => JSON.parse(line)), [
    { host: '007', message: 'signal received', signal: 'SIGINT', state: 'running', outcome: 'drain' },
    { host: '007', message: 'process ends', status: 0, reason: 'drained' }
  ])
})

t.test('a host that cannot listen makes the program exit with one error line', async t => {
  const startEntryHost = async () => { throw Object.assign(new TypeError('listen EADDRINUSE: address already in use 127.0.0.1:7101'), { syscall: 'listen' }) }
  t.match(await run(['serve', ...settings], { environment, startEntryHost }), { status: 1, errors: ['error: listen EADDRINUSE: address already in use 127.0.0.1:7101'] })
})

t.test('check reports the faults of settings and of all files', async t => {
  const files: Record<string, string> = { good: '[{"account":"pier"}]', bad: '[{"account":"pier"},{"account":"pier"},7]', broken: '{' }
  const readTextFile = async (path: string) => files[path]!
  const { status, errors, output } = await run(['check', 'good', 'bad', 'broken', '--probe-ms', '9'], { environment: { ...environment, LYCHEETRACK_HOSTID: 'x' }, readTextFile })
  t.equal(status, 2)
  t.same(output, ['good: 1 valid (pier)'])
  t.matchSnapshot(errors.join('\n'))
  t.equal((await run(['check', 'good'], { readTextFile })).status, 0)
  t.equal((await run(['check'])).status, 2)
})

t.test('SIGHUP reloads the settings of a gateway host; a file with faults changes nothing', async t => {
  const settings = await readFile('src/node/cli/__tests__/gatewaySettings.toml', 'utf8')
  const path = join(t.testdir({ 'node.toml': settings }), 'node.toml')
  const applied: number[] = []
  const faults: string[] = []
  let stop = (): void => {}
  const stopped = new Promise<void>(resolve => { stop = resolve })
  const startGatewayHost = async () => ({
    drain: () => { stop() },
    waitUntilStopped: () => stopped,
    applySettings: (next: { readonly timings: { readonly retryRatio: number } }) => { applied.push(next.timings.retryRatio) },
    recordSettingsFault: (message: string) => { faults.push(message) }
  })
  const test = createTestDependencies({ environment: { LYCHEETRACK_SETTINGS: path }, startGatewayHost })
  const running = runCommandLine(['node', 'lycheetrack', 'gateway'], test.dependencies)
  await waitUntil(() => test.hasHostListener())
  await new Promise(resolve => setTimeout(resolve, 20))
  await writeFile(path, settings.replace('retryBudgetRatio = 0.2', 'retryBudgetRatio = 0.3'))
  test.sendSignal('SIGHUP')
  await waitUntil(() => applied.length === 1)
  t.same(applied, [0.3])
  await writeFile(path, settings.replace('retryBudgetRatio = 0.2', 'retryBudgetRatio = "x"'))
  test.sendReload()
  await waitUntil(() => faults.length === 1)
  t.match(faults, [/bounds.retryBudgetRatio is "x"/])
  t.same(applied, [0.3])
  test.sendSignal('SIGTERM')
  t.equal(await running, 0)
  t.match(await run(['gateway']), { status: 2, errors: [/LYCHEETRACK_SETTINGS is missing/] })
})
