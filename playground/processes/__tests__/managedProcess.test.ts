import { setTimeout as waitMs } from 'node:timers/promises'
import t from 'tap'
import { ManagedProcess } from '../managedProcess.js'

const program = "process.on('SIGTERM', () => process.exit(7)); setInterval(() => {}, 1000); console.log('listening 1 a')"

function startProcess (t: { teardown: (stop: () => unknown) => void }, code = program): ManagedProcess {
  const managed = new ManagedProcess({ id: 'p', args: ['-e', code] })
  t.teardown(() => managed.kill())
  managed.start()
  return managed
}

t.test('stops a process with SIGTERM and starts it again', async t => {
  const managed = startProcess(t)
  t.same(await managed.waitLines('listening ', 1), ['listening 1 a'])
  t.equal(await managed.stop(), 7)
  t.notOk(managed.isRunning)
  managed.start()
  t.same(await managed.waitLines('listening ', 1), ['listening 1 a'])
})

// Guards against processes that outlive the demo because they ignore SIGTERM or are suspended.
t.test('stops a process that ignores SIGTERM, and a suspended one', async t => {
  const ignoring = startProcess(t, program.replace('process.exit(7)', '{}'))
  await ignoring.waitLines('listening ', 1)
  t.equal(await ignoring.stop(100), null)
  const frozen = startProcess(t)
  await frozen.waitLines('listening ', 1)
  frozen.freeze()
  t.equal(await frozen.stop(), 7)
})

t.test('a suspended process continues after it is resumed', async t => {
  const managed = startProcess(t, "let n = 0; setInterval(() => console.log('beat ' + n++), 10)")
  await managed.waitLines('beat ', 1)
  managed.freeze()
  await waitMs(100)
  managed.resume()
  t.equal((await managed.waitLines('beat ', 30)).length, 30)
})

t.test('rejects with a typed error when a process does not start', async t => {
  const managed = startProcess(t, "console.error('no such setting'); process.exitCode = 2")
  await t.rejects(managed.waitLines('listening ', 1), { code: 'process_failed', message: /did not start/ })
})
