import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { createGatewayHost } from '../createGatewayHost.js'
import { findFreePort } from '../../../../playground/platform/findFreePort.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

t.test('guards against a host that does not start because another process has the port of its metrics', async t => {
  const fleet = await new GatewayTestHarness().start()
  const other = createServer().listen(0, '127.0.0.1')
  await once(other, 'listening')
  const [clientPort, readinessPort, directoryPort, peerPort] = await Promise.all(Array.from({ length: 4 }, findFreePort))
  const lines: string[] = []
  const host = await createGatewayHost({
    ...fleet.settings,
    hostId: 'host-2',
    clientAddress: `127.0.0.1:${clientPort}`,
    readinessAddress: `127.0.0.1:${readinessPort}`,
    directoryAddress: `127.0.0.1:${directoryPort}`,
    firstPeerPort: peerPort!,
    lastPeerPort: peerPort!
  }, { metricsPort: (other.address() as AddressInfo).port, writeLine: line => { lines.push(line) } })
  t.teardown(async () => {
    host.drain()
    await host.waitUntilStopped()
    other.close()
    await fleet.stop()
  })
  await waitUntil(() => lines.some(line => line.includes('"readiness changed","isReady":true')))
  t.equal((await fetch(`http://127.0.0.1:${readinessPort}/-/readiness`)).status, 200)
  t.ok(lines.some(line => line.includes('"address in use"')))
})
