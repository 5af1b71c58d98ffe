import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { gatewayConstants } from '../gatewayConstants.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { RawClient } from '../../../../playground/platform/rawClient.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** The sockets between the host and a client that does not read hold this answer whole. */
const largeBodyBytes = 3_500_000
const cutBodyBytes = 8_000_000
const idleTimeoutMs = 300
const timings = { gracePeriodMs: 9000 }

t.test('connections that the host closes while the client reads an answer', async t => {
  const fleet = await new GatewayTestHarness('host-1', undefined, { timings }).start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => {
    const bytes = { '/once/large': largeBodyBytes, '/once/cut': cutBodyBytes }[request.path] ?? 2
    socket.write(buildStandInAnswer(request, { body: 'x'.repeat(bytes) }))
  }).start()
  const applyIdleTimeout = async (idleTimeoutMs: number): Promise<void> => {
    const version = fleet.writeConfiguration({
      services: [{ name: 'shop' }],
      routes: [{ name: 'once', pathPrefix: '/once/', kind: 'unsafe', service: 'shop', timeoutMs: 9000, maxAttempts: 1 }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs }
    })
    await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  }
  await applyIdleTimeout(idleTimeoutMs)
  fleet.addUpstream(upstream, 'shop')
  t.teardown(async () => {
    await fleet.stop()
    upstream.stop()
  })
  await fleet.waitForLogLine('upstream added', 'i-shop')

  const late = RawClient.buildRequest('late', { target: '/once/x' })
  const send = (id: string, headers = {}, tail = ''): RawClient => {
    const request = RawClient.buildRequest(id, { method: 'POST', target: '/once/large', headers })
    return new RawClient(fleet.settings.clientAddress).stopReading().send(request + tail)
  }
  /** Sends another request after the host has closed the connection, and reads what came before. */
  const readLate = async (client: RawClient, waitMs: number): Promise<RawClient> => {
    await delay(waitMs)
    client.send(late)
    await delay(100)
    client.resumeReading()
    await waitUntil(() => client.isClosed)
    return client
  }
  const cases: ReadonlyArray<readonly [name: string, waitMs: number, headers: Record<string, string>, tail: string]> = [
    ['that its client has asked for', 600, { Connection: 'close' }, ''],
    ['behind bytes that are no request', 1200, {}, 'no request\r\n\r\n'],
    ['of an idle connection', idleTimeoutMs + 2000, {}, '']
  ]
  for (const [name, waitMs, headers, tail] of cases) {
    t.test(`guards against an answer that is cut by a close ${name}`, async t => {
      const client = await readLate(send('slow', headers, tail), waitMs)
      t.equal(client.answers[0]?.body.length, largeBodyBytes, `${client.received.length} bytes`)
    })
  }

  t.test('guards against an answer that is cut by a stop', async t => {
    const stuck = new RawClient(fleet.settings.clientAddress).stopReading().send(RawClient.buildRequest('stuck', { target: '/once/cut' }))
    await applyIdleTimeout(15_000)
    const idle = send('idle')
    const slow = new RawClient(fleet.settings.clientAddress).stopReading()
    await delay(600)
    fleet.host.drain()
    slow.send(RawClient.buildRequest('slow', { method: 'POST', target: '/once/large' }))
    const [written, closed] = await Promise.all([readLate(slow, 600), readLate(idle, gatewayConstants.drainAcceptMs + 200)])
    t.same(written.summary, ['200 slow', '200 late'])
    t.equal(written.answers[0]?.body.length, largeBodyBytes, `${written.received.length} bytes`)
    t.equal(closed.answers[0]?.body.length, largeBodyBytes, `${closed.received.length} bytes`)
    await fleet.host.waitUntilStopped()
    const cutOff = fleet.logLines.filter(line => line.includes('answer cut off'))
    t.match(cutOff, [/"requestId":"stuck".*"reason":"host-stopped","unsentBytes":\d{5,},/], 'one line on the answer that is cut')
    stuck.close()
  })
})
