import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { RawClient } from '../../../../playground/platform/rawClient.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

t.test('guards against targets in absolute form that find no route', async t => {
  const fleet = await new GatewayTestHarness().start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  const version = fleet.writeConfiguration({ services: [{ name: 'shop' }], routes: [{ pathPrefix: '/', service: 'shop' }] })
  fleet.addUpstream(upstream, 'shop')
  t.teardown(async () => {
    await fleet.stop()
    upstream.stop()
  })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-shop')
  const targets: ReadonlyArray<readonly [target: string, hostName: string, status: number, path?: string]> = [
    ['http://shop.example/a/b?c=http://d/', 'other.example', 200, '/a/b?c=http://d/'],
    ['HTTP://Shop.Example:7001/a', 'shop.example', 200, '/a'],
    ['http://shop.example', 'shop.example', 200, '/'],
    ['http://shop.example?c=1', 'shop.example', 200, '/?c=1'],
    ['http://other.example/a', 'shop.example', 404],
    ['/http://other.example/a', 'shop.example', 200, '/http://other.example/a']
  ]
  for (const [target, hostName, status, path] of targets) {
    upstream.requests.length = 0
    const client = new RawClient(fleet.settings.clientAddress).send(RawClient.buildRequest('t', { target, headers: { Host: hostName } }))
    await waitUntil(() => client.answers.length > 0)
    t.same(client.summary, [`${status} t`], target)
    t.same(upstream.requests.map(request => request.path), path === undefined ? [] : [path])
    client.close()
  }
})
