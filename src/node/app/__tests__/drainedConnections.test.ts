import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { gatewayConstants } from '../gatewayConstants.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { RawClient } from '../../../../playground/platform/rawClient.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** More than the sockets between the host and a client that does not read can hold. */
const largeBodyBytes = 8_000_000

t.test('connections at a host that stops', async t => {
  const fleet = new GatewayTestHarness('host-1', undefined, {
    timings: { gracePeriodMs: 9000 }
  })
  await fleet.start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => {
    const body = request.path === '/once/large' ? 'x'.repeat(largeBodyBytes) : 'ok'
    socket.write(buildStandInAnswer(request, { body }))
  }).start()
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop' }],
    routes: [{ name: 'once', pathPrefix: '/once/', kind: 'unsafe', service: 'shop', timeoutMs: 9000, maxAttempts: 1 }]
  })
  fleet.addUpstream(upstream, 'shop')
  t.teardown(async () => {
    await fleet.stop()
    upstream.stop()
  })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-shop')
  const connect = (): RawClient => new RawClient(fleet.settings.clientAddress)

  t.test('guards against an answer that a stop cuts off while its client reads it', async t => {
    const slow = connect().stopReading().send(RawClient.buildRequest('slow-1', { method: 'POST', target: '/once/large' }))
    const idle = connect().send(RawClient.buildRequest('idle-1', { target: '/once/x' }))
    await waitUntil(() => idle.answers.length === 1)
    const half = connect().send(RawClient.buildRequest('half-1', { target: '/once/x' }))
    await waitUntil(() => half.answers.length === 1)
    const request = RawClient.buildRequest('half-2', { target: '/once/x' })
    await delay(200)
    fleet.host.drain()
    await delay(gatewayConstants.drainAcceptMs - 300)
    half.send(request.slice(0, 20))
    await delay(600)
    t.ok(idle.isClosed, 'an idle connection is closed')
    t.notOk(half.isClosed, 'one on which a request is being received is not')
    half.send(request.slice(20))
    slow.resumeReading()
    await waitUntil(() => slow.isClosed && half.isClosed)
    t.same(half.summary, ['200 half-1', '200 half-2'])
    t.same(slow.summary, ['200 slow-1'])
    t.equal(slow.answers[0]?.body.length, largeBodyBytes)
  })
})
