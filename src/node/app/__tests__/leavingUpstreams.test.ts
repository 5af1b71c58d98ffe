import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

/** Bound of the operator, as in the settings of the harness. */
const drainMs = 2000
const retryAfterMs = 1500
/** Time within which a request may still reach an upstream that has asked for none. */
const turnedAwayGraceMs = 500
const maxArrivals = 2

t.test('upstreams that want no requests', { timeout: 60_000 }, async t => {
  const fleet = await new GatewayTestHarness().start()
  const stays = await new UpstreamStandIn('i-stays', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  const other = await new UpstreamStandIn('i-other', () => {}).start()
  t.teardown(async () => {
    await fleet.stop()
    for (const upstream of [stays, other]) upstream.stop()
  })
  const version = fleet.writeConfiguration({ services: [{ name: 'shop' }], routes: [{ name: 'safe', pathPrefix: '/safe/', service: 'shop' }] })
  for (const upstream of [stays, other]) fleet.addUpstream(upstream, 'shop')
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-other')
  const sendUntilReached = async (): Promise<void> => {
    for (let i = 0; i < 40 && other.requests.length === 0; i++) t.match(await fleet.send('/safe/x'), { status: 200 })
  }
  const sendFor = async (ms: number): Promise<void> => {
    for (const endMs = Date.now() + ms; Date.now() < endMs; await delay(20)) t.match(await fleet.send('/safe/x'), { status: 200 })
  }

  await t.test('guards against requests to an upstream that has asked for none for a while', async t => {
    other.answer = (request, socket) => {
      socket.write(buildStandInAnswer(request, { status: 503, headers: { 'X-Not-Executed': '1', 'Retry-After': String(retryAfterMs / 1000) } }))
    }
    await sendUntilReached()
    await delay(turnedAwayGraceMs)
    other.requests.length = 0
    await sendFor(retryAfterMs - turnedAwayGraceMs - 100)
    t.ok(other.requests.length <= maxArrivals, `${other.requests.length} requests`)
  })

  await t.test('guards against requests to an upstream that says in its answers that it leaves, while its entry is ready', async t => {
    other.answer = (request, socket) => { socket.write(buildStandInAnswer(request, { headers: { 'Server-Leaving': '1' } })) }
    await delay(retryAfterMs)
    other.requests.length = 0
    await sendUntilReached()
    await delay(drainMs)
    other.requests.length = 0
    fleet.addUpstream(other, 'shop')
    await sendFor(1000)
    t.equal(other.requests.length, 0)
    fleet.store.remove('servers/i-other')
    await fleet.waitForLogLine('upstream gone', 'i-other')
    fleet.addUpstream(other, 'shop')
    await sendFor(500)
    t.equal(other.requests.length, 0, 'the entry was missing for a while')
    other.answer = (request, socket) => { socket.write(buildStandInAnswer(request)) }
    fleet.store.write('servers/i-other', { service: 'shop', address: other.address, zone: 'quay-a', slots: 4, state: 'ready', born: 2 })
    await fleet.waitForLogLine('upstream ready', 'i-other')
    await sendUntilReached()
    t.ok(other.requests.length > 0, 'an instance that starts again under the id begins anew')
  })
})
