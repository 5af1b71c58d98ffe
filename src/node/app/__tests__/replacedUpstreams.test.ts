import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

const loadMs = 4000
const clientCount = 16
/** Time in which requests that were on their way arrive, and requests that may be sent after it. */
const graceMs = 500
const maxArrivals = 2

t.test('addresses that another instance has taken over', { timeout: 30_000 }, async t => {
  const fleet = await new GatewayTestHarness().start()
  const sendOk: UpstreamStandIn['answer'] = (request, socket) => { socket.write(buildStandInAnswer(request)) }
  const sound = await new UpstreamStandIn('i-sound', sendOk).start()
  const replaced = await new UpstreamStandIn('i-replaced', (request, socket) => {
    socket.write(buildStandInAnswer(request, { status: 421, headers: { 'X-Response-Signature': '' } }))
  }).start()
  t.teardown(async () => {
    await fleet.stop()
    for (const upstream of [sound, replaced]) upstream.stop()
  })
  for (const upstream of [sound, replaced]) fleet.addUpstream(upstream, 'shop')
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop', connectionLimit: 100 }],
    routes: [{ pathPrefix: '/order/', kind: 'unsafe', service: 'shop', maxAttempts: 1 }]
  })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-replaced')

  await t.test('guards against sending request after request to an instance that is not there any more', async t => {
    const statuses: number[] = []
    const endMs = Date.now() + loadMs
    const reset = delay(graceMs).then(() => {
      replaced.requests.length = 0
      statuses.length = 0
    })
    await Promise.all(Array.from({ length: clientCount }, async () => {
      for (; Date.now() < endMs; await delay(20)) {
        statuses.push((await fleet.send('/order/x', { method: 'POST' })).status)
      }
    }))
    await reset
    t.ok(replaced.requests.length <= maxArrivals, `${replaced.requests.length} requests`)
    t.ok(statuses.filter(status => status !== 200).length <= maxArrivals, 'the others are served by the other upstream')
  })

  await t.test('the instance is used again when its entry tells of a new start', async t => {
    replaced.answer = sound.answer
    replaced.requests.length = 0
    const entry = { service: 'shop', address: replaced.address, zone: 'quay-a', slots: 4, state: 'ready', born: 2 }
    fleet.store.write('servers/i-replaced', entry)
    for (let i = 0; i < 100 && replaced.requests.length === 0; i++) {
      t.match(await fleet.send('/order/x', { method: 'POST' }), { status: 200 })
      await delay(10)
    }
    t.ok(replaced.requests.length > 0)
  })
})
