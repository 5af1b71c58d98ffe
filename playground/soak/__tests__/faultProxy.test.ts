import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { FaultProxy } from '../faultProxy.js'
import { UpstreamStandIn } from '../../platform/upstreamStandIn.js'
import { waitUntil } from '../../fakes/waitUntil.js'
import type { Socket } from 'node:net'

t.test('guards against bytes that overtake delayed ones when the delay ends, and against a reset that becomes an orderly end', async t => {
  let upstreamSocket: Socket | undefined
  const upstream = await new UpstreamStandIn('i-a', (_, socket) => { upstreamSocket = socket }).start()
  const proxy = await new FaultProxy(upstream.address).start()
  t.teardown(() => {
    proxy.stop()
    upstream.stop()
  })
  const [host, port] = proxy.address.split(':')
  let received = ''
  let wasReset = false
  const closed = new Promise<void>(resolve => {
    const client = connect(Number(port), host, () => { client.write('GET / HTTP/1.1\r\n\r\n') })
    client.on('data', data => { received += data.toString() })
    client.on('error', () => { wasReset = true })
    client.on('close', () => { resolve() })
  })
  await waitUntil(() => upstreamSocket !== undefined)
  proxy.applyFault('delay')
  upstreamSocket!.write('A')
  await delay(50)
  proxy.applyFault('none')
  upstreamSocket!.write('B')
  await delay(400)
  t.equal(received, 'AB')
  upstreamSocket!.resetAndDestroy()
  await closed
  t.ok(wasReset)
})
