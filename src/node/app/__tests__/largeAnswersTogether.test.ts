import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

t.test('guards against a sound upstream that is paused because its large answers use up the memory together', async t => {
  const fleet = await new GatewayTestHarness('host-1', undefined, { memoryBytes: 210_000_000 }).start()
  const upstream = await new UpstreamStandIn('i-a', (request, socket) => {
    if (request.path === '/r/small') return socket.write(buildStandInAnswer(request))
    const text = buildStandInAnswer(request, { body: 'x'.repeat(2_000_000) })
    socket.write(text.slice(0, 1_500_000))
    return setTimeout(() => { socket.write(text.slice(1_500_000)) }, 200)
  }).start()
  t.teardown(async () => {
    await fleet.stop()
    upstream.stop()
  })
  fleet.writeConfiguration({
    services: [{ name: 'svc', connectionLimit: 100 }],
    routes: [{ kind: 'unsafe', pathPrefix: '/r/', service: 'svc' }]
  })
  fleet.addUpstream(upstream, 'svc')
  await fleet.waitForLogLine('upstream added')
  const send = async (path: string): Promise<number> => {
    return (await fleet.send(path, { headers: { 'x-time-remaining': '3000' } })).status
  }
  const statuses = await Promise.all(Array.from({ length: 16 }, async () => await send('/r/large')))
  t.ok(statuses.includes(502), `answers gave way: ${statuses.join()}`)
  t.equal(await send('/r/small'), 200)
  t.same(fleet.logLines.filter(line => line.includes('upstream paused')), [])
})
