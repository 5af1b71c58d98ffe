import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { RawClient } from '../../../../playground/platform/rawClient.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

t.test('requests behind one that is refused before its body has arrived', async t => {
  const timings = { gracePeriodMs: 4000 }
  const fleet = await new GatewayTestHarness('host-1', undefined, { timings }).start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  const route = { kind: 'unsafe', service: 'shop', maxAttempts: 1 }
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop' }],
    routes: [{ ...route, name: 'once', pathPrefix: '/once/' }, { ...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming' }]
  })
  fleet.addUpstream(upstream, 'shop')
  t.teardown(() => { upstream.stop() })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-shop')

  const sendBatch = async (id: string, bodyBytes: number, headers = {}): Promise<RawClient> => {
    const client = new RawClient(fleet.settings.clientAddress)
    const body = 'x'.repeat(bodyBytes)
    const refused = RawClient.buildRequest(`${id}-1`, { method: 'POST', target: '/stream/x', body, headers })
    client.send(refused.slice(0, -body.length))
    await waitUntil(() => client.answers.length === 1)
    const behind = [2, 3].map(i => RawClient.buildRequest(`${id}-${i}`, { method: 'POST', target: '/once/x', body: 'body' }))
    client.send(body + behind.join(''))
    await waitUntil(() => client.answers.length === 3 || client.isClosed)
    return client
  }

  t.test('guards against requests that are lost behind a body that is refused as too large', async t => {
    const client = await sendBatch('large', 300_000)
    t.same(client.summary, ['413 large-1', '200 large-2', '200 large-3'])
    client.close()
  })

  t.test('guards against requests that a stop leaves unanswered behind a body that it refuses', async t => {
    const stopped = fleet.stop()
    const client = await sendBatch('stop', 90_000)
    t.same(client.summary, ['503 stop-1', '200 stop-2', '200 stop-3'])
    await waitUntil(() => client.isClosed)
    t.ok(client.isClosed)
    t.equal(client.answers.at(-1)?.headers.connection, 'close')
    t.same(fleet.logLines.filter(line => line.includes('request cut off')), [])
    await stopped
  })
})
