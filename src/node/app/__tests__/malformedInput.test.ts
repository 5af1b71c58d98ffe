import { connect } from 'node:net'
import { EventEmitter } from 'node:events'
import t from 'tap'
import fc from 'fast-check'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { createSilentLogger } from '../../../../playground/fakes/createSilentLogger.js'
import { ErrorGuard } from '../errorGuard.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import type { StandInRequest } from '../../../../playground/platform/standInRequest.js'

const sendOk = (request: StandInRequest, socket: { write (text: string): unknown }): void => { socket.write(buildStandInAnswer(request)) }

/** Sends bytes on a connection of their own; resolves when the host closes it or stays silent. */
async function sendBytes (address: string, bytes: string): Promise<void> {
  const [host, port] = address.split(':')
  await new Promise<void>(resolve => {
    const socket = connect({ host: host!, port: Number(port) }, () => { socket.write(bytes, 'latin1') })
    socket.setTimeout(60, () => { socket.destroy() })
    socket.on('error', () => {})
    socket.on('data', () => {})
    socket.on('close', () => { resolve() })
  })
}

// One malformed message, from whichever side, must not take the process down or harm other requests.
t.test('malformed messages', async t => {
  const fleet = await new GatewayTestHarness().start()
  const strange = await new UpstreamStandIn('i-strange', sendOk).start()
  const sound = await new UpstreamStandIn('i-sound', sendOk).start()
  const unexpected: unknown[] = []
  const onUnexpected = (error: unknown): void => { unexpected.push(error) }
  process.on('uncaughtExceptionMonitor', onUnexpected)
  t.teardown(async () => {
    process.off('uncaughtExceptionMonitor', onUnexpected)
    await fleet.stop()
    strange.stop()
    sound.stop()
  })
  const version = fleet.writeConfiguration({
    services: [{ name: 'strange' }, { name: 'sound' }, { name: 'stage', pieces: { slots: 1, queue: 2, batch: 8, callMs: 10, itemMs: 1, headroomMb: 10, handleS: 4, linkMbps: 1000 } }],
    routes: [
      { name: 'strange', pathPrefix: '/strange/', service: 'strange', timeoutMs: 400 },
      { name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'strange', timeoutMs: 400 },
      { name: 'staged', pathPrefix: '/staged/', kind: 'streaming', service: 'strange', timeoutMs: 400, stages: [{ service: 'stage', after: [], bytes: 10 }] },
      { name: 'sound', pathPrefix: '/sound/', service: 'sound' }
    ]
  })
  fleet.addUpstream(strange, 'strange')
  fleet.addUpstream(strange, 'stage')
  fleet.addUpstream(sound, 'sound')
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-sound')
  const verifyServes = async (t: { match (found: unknown, pattern: object): unknown, same (found: unknown, wanted: unknown): unknown }): Promise<void> => {
    t.match(await fleet.send('/sound/x'), { status: 200, body: 'ok' })
    t.same(unexpected, [])
    t.same(fleet.logLines.filter(line => line.includes('unexpected error')), [])
  }

  t.test('requests with strange heads', async t => {
    const values = ['', '0', '-1', '1e9', '1e9,1e9', '2.5', 'NaN', 'x', '1'.repeat(3000), '\u00ff\u0080', ',,,', ':', 'a:b:c,', '0x10']
    const names = ['X-Pieces', 'X-Token-Counts', 'X-Prompt-Prefix', 'X-Time-Remaining', 'X-Piece-Key', 'Last-Event-Id', 'Authorization', 'Content-Length', 'Transfer-Encoding', 'Connection', 'Expect', 'Host', 'X-Own']
    for (const name of names) {
      for (const value of values) await sendBytes(fleet.settings.clientAddress, `GET /staged/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: f\r\nX-Time-Remaining: 50\r\n${name}: ${value}\r\n\r\n`)
    }
    await fc.assert(fc.asyncProperty(
      fc.constantFrom('/strange/x', '/stream/x', '/staged/x', '/', '*', '//', '/strange/%', '/strange/\u00e9?\u00ff#'),
      fc.array(fc.tuple(fc.constantFrom(...names), fc.constantFrom(...values)), { maxLength: 4 }),
      async (path, headers) => {
        await sendBytes(fleet.settings.clientAddress, `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: f\r\nX-Time-Remaining: 50\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
      }
    ), { numRuns: 60, seed: 1 })
    await verifyServes(t)
  })

  t.test('bytes that are no request, to each port', async t => {
    const { clientAddress, readinessAddress, directoryAddress, ipAddress, firstPeerPort } = fleet.settings
    await fc.assert(fc.asyncProperty(fc.constantFrom(clientAddress, readinessAddress!, directoryAddress!, `${ipAddress}:${firstPeerPort}`), fc.string({ minLength: 1, maxLength: 300, unit: 'binary-ascii' }), async (address, bytes) => {
      await sendBytes(address, bytes)
      await sendBytes(address, `PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n${bytes}`)
    }), { numRuns: 30, seed: 2 })
    await verifyServes(t)
  })

  t.test('answers that are malformed in any place', async t => {
    const pieces = ['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 999 X\r\n', 'HTTP/1.1 000 X\r\n', 'HTTP/9.9 200\r\n', 'X-Request-Id: other\r\n', 'X-Response-Signature: sig\r\n', 'Content-Length: 5\r\n', 'Content-Length: -5\r\n', 'Transfer-Encoding: chunked\r\n', 'Content-Type: text/event-stream\r\n', 'X-Server-Load: a,,b\r\n', 'X-Own: \u0001\u00ff\r\n', 'Keep-Alive: timeout=-1\r\n', '\r\n', 'zz\r\n', '3\r\nabc\r\n', '0\r\n\r\n', 'id: 1\n\n', '{"items":[]}', '{"items":[{}]}', '{"items":[{"handle":7}]}']
    await fc.assert(fc.asyncProperty(fc.constantFrom('/strange/x', '/stream/x', '/staged/x'), fc.array(fc.constantFrom(...pieces), { minLength: 1, maxLength: 8 }), fc.boolean(), async (path, answer, isClosed) => {
      strange.answer = (request, socket) => {
        const bytes = Buffer.from(answer.join('').replace('X-Request-Id: other', `X-Request-Id: ${request.headers['x-request-id'] ?? ''}`), 'latin1')
        if (isClosed) socket.end(bytes)
        else socket.write(bytes)
      }
      await fleet.send(path, { headers: { 'x-time-remaining': '120', 'x-pieces': '2', 'x-piece-key': 'k' } }).catch(() => {})
    }), { numRuns: 60, seed: 3 })
    strange.answer = sendOk
    await verifyServes(t)
  })

  t.test('store entries of other writers', async t => {
    const texts = ['', '{', '[]', 'null', '7', '{"version":"x"}', '{"service":7,"address":"1.2.3.4:5"}', '{"service":"sound","address":"no address","zone":"z","state":"ready"}', '{"id":"host-9"}', '\u00ff\u0000']
    for (const key of ['op/config', 'servers/i-x', 'lycheetrack/hosts/h', 'lycheetrack/other', 'zzz']) {
      for (const text of texts) fleet.store.write(key, Buffer.from(text, 'latin1'))
    }
    fleet.store.remove('servers/i-x')
    await fleet.waitForLogLine('configuration not readable')
    await verifyServes(t)
  })
})

t.test('an unexpected error is logged and the process goes on, unless errors keep coming', async t => {
  const exits: number[] = []
  const guarded = Object.assign(new EventEmitter(), { exit: (status: number) => { exits.push(status) } })
  const messages: string[] = []
  let nowMs = 0
  const logger = { ...createSilentLogger(), recordError: (message: string, fields?: object) => { messages.push(`${message} ${JSON.stringify({ ...fields, stack: undefined })}`) } }
  const guard = new ErrorGuard({ process: guarded, logger, clock: { readMonotonicMs: () => nowMs, readWallMs: () => nowMs }, getDrainLimitMs: () => 50 })
  guard.start()
  for (let i = 0; i < 60; i++) {
    nowMs += 1000
    guarded.emit('unhandledRejection', 'a rejected value')
  }
  t.same(exits, [], 'one error a second')
  for (let i = 0; i < 25; i++) guarded.emit('uncaughtException', new RangeError('too many'))
  t.same(exits, [70], 'a host that has not started')
  guard.stop()
  t.equal(guarded.listenerCount('uncaughtException'), 0)
  t.matchSnapshot([messages[0], messages.at(-1)])
})

t.test('errors that keep coming drain the host once, and the process ends when the drain does not', async t => {
  const exits: number[] = []
  const failures: Error[] = []
  const guarded = Object.assign(new EventEmitter(), { exit: (status: number) => { exits.push(status) } })
  const clock = { readMonotonicMs: () => 0, readWallMs: () => 0 }
  const guard = new ErrorGuard({ process: guarded, logger: createSilentLogger(), clock, getDrainLimitMs: () => 50 })
  guard.start()
  guard.setHost({ drain: failure => { failures.push(failure) } })
  for (let i = 0; i < 100; i++) guarded.emit('uncaughtException', new RangeError('too many'))
  t.match(failures, [{ code: 'unexpected_errors' }])
  t.same(exits, [])
  await new Promise(resolve => setTimeout(resolve, 100))
  t.same(exits, [70])
  guard.stop()
})
