import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { AddressWaiter } from '../addressWaiter.js'
import { createLogger } from '../../logging/createLogger.js'
import { openListener } from '../openListener.js'
import { systemClock } from '../../../shared/systemClock.js'

const logger = createLogger({ write: () => {} })

t.test('a server gets an address that another one leaves, and errors after that are not swallowed', async t => {
  const old = createServer()
  await openListener(old, { port: 0, host: '127.0.0.1' })
  const { port } = old.address() as AddressInfo
  const server = createServer()
  t.teardown(() => { server.close() })
  const waiter = new AddressWaiter({ limitMs: 5000, clock: systemClock, logger })
  const opening = waiter.open('x', async () => { await openListener(server, { port, host: '127.0.0.1' }) })
  setTimeout(() => { old.close() }, 200)
  await opening
  t.equal((server.address() as AddressInfo).port, port)
  t.equal(server.listenerCount('error'), 0)
})

t.test('an address that stays in use is a typed error at the end of the time', async t => {
  const old = createServer()
  await openListener(old, { port: 0, host: '127.0.0.1' })
  t.teardown(() => { old.close() })
  const { port } = old.address() as AddressInfo
  const waiter = new AddressWaiter({ limitMs: 120, clock: systemClock, logger })
  const opening = waiter.open('the address', async () => { await openListener(createServer(), { port, host: '127.0.0.1' }) })
  await t.rejects(opening, { code: 'address_in_use', message: 'the address is in use after 120 ms' })
})

t.test('a stop ends the wait with its reason; other errors are not retried', async t => {
  const controller = new AbortController()
  const waiter = new AddressWaiter({ limitMs: 5000, stopSignal: controller.signal, clock: systemClock, logger })
  const inUse = Object.assign(new TypeError('in use'), { code: 'EADDRINUSE' })
  const opening = waiter.open('x', async () => { throw new TypeError('wrapped', { cause: inUse }) })
  setTimeout(() => { controller.abort(new RangeError('stopped')) }, 20)
  await t.rejects(opening, { message: 'stopped' })
  const other = new AddressWaiter({ limitMs: 5000, clock: systemClock, logger })
  await t.rejects(other.open('x', async () => { throw new TypeError('no such address') }), { message: 'no such address' })
})

t.test('guards against a host that ends because its machine gets an address late', async t => {
  const missing = new Error('not there', { cause: Object.assign(new Error('listen'), { code: 'EADDRNOTAVAIL' }) })
  const waiter = new AddressWaiter({ limitMs: 300, clock: systemClock, logger })
  let attempts = 0
  const listen = async (): Promise<string> => {
    if (++attempts < 3) throw missing
    return 'open'
  }
  t.equal(await waiter.open('x', listen), 'open')
  await t.rejects(waiter.open('x', async () => { throw missing }), missing)
})
