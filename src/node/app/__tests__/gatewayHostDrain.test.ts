import t from 'tap'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

t.test('guards against a stopping host that closes connections without a response', async t => {
  const fleet = await new GatewayTestHarness().start()
  t.teardown(() => { fleet.store.stop() })
  const upstream = await new UpstreamStandIn('i-a', () => {}).start()
  t.teardown(() => { upstream.stop() })
  fleet.addUpstream(upstream, 'shop')
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop' }],
    routes: [
      { pathPrefix: '/once/', service: 'shop', kind: 'unsafe', timeoutMs: 20_000 },
      { pathPrefix: '/stream/', service: 'shop', kind: 'streaming', timeoutMs: 20_000 }
    ]
  })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-a')
  const headers = { 'x-time-remaining': '20000' }
  const held = fleet.send('/once/held', { method: 'POST', headers })
  await fleet.waitForRequests(upstream, 1)
  const stopping = fleet.stop()
  t.match(await fleet.send('/stream/late', { headers }), {
    status: 503,
    isComplete: true,
    headers: { 'retry-after': '0.02', connection: 'close' }
  }, 'a stream that the stop would cut off is refused at once')
  const late = fleet.send('/once/late', { method: 'POST', headers })
  t.match(await late, { status: 504, isComplete: true }, 'a request that arrives during the drain gets its response before the stop')
  t.match(await held, { status: 504, isComplete: true }, 'so does one that arrived before the drain')
  await stopping
  t.equal(upstream.requests.length, 2, 'the stream was not sent')
})
