import { once } from 'node:events'
import { createServer } from 'node:net'
import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { HostProcess } from '../../../../playground/platform/hostProcess.js'
import type { Server } from 'node:net'

interface HostOptions extends Partial<Pick<ConstructorParameters<typeof HostProcess>[0], 'firstPort' | 'editSettings' | 'descriptorLimit'>> {
  /** Last byte of the loopback address. */
  readonly host: number
}

/** Loopback network of this file. */
const network = '127.2.252'

t.test('what a host needs from outside to be ready', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  fleet.writeConfiguration({})
  t.teardown(() => {
    fleet.store.stop()
    product.remove()
  })
  let hostCount = 0
  const startHost = ({ host, ...options }: HostOptions): HostProcess => {
    const id = `host-${++hostCount}`
    const started = new HostProcess({ id, ipAddress: `${network}.${host}`, storeAddress: fleet.store.address, ...product, ...options }).start()
    t.teardown(async () => { await started.process.kill() })
    return started
  }
  const listen = async (port: number, host: number): Promise<Server> => {
    const server = createServer().listen(port, `${network}.${host}`)
    await once(server, 'listening')
    t.teardown(() => { server.close() })
    return server
  }
  const findPeerPort = (id: string): number => Number(JSON.parse(fleet.store.find(`lycheetrack/hosts/${id}`) ?? '{}').peerAddress?.split(':')[1])

  t.test('guards against hosts of one machine that end because each takes the first peer port', async t => {
    const hosts = [7001, 7011, 7021, 7031].map(firstPort => startHost({ host: 1, firstPort }))
    t.same(await Promise.all(hosts.map(async host => await host.waitReady())), [true, true, true, true])
    const ports = hosts.map(host => Number(host.listLines('peer server started')[0]?.port))
    t.same([...ports].sort(), [7740, 7741, 7742, 7743])
    t.same(hosts.map(host => findPeerPort(host.process.id)), ports)
  })

  t.test('guards against a host that ends although some of its peer ports are free', async t => {
    for (let port = 7740; port < 7755; port++) await listen(port, 2)
    const host = startHost({ host: 2 })
    t.ok(await host.waitReady())
    t.match(host.listLines('peer server started'), [{ port: 7755 }])
  })

  t.test('a host waits while none of its peer ports is free', async t => {
    const others = [await listen(7740, 3), await listen(7741, 3)]
    const host = startHost({ host: 3, editSettings: text => text.replace('7755', '7741') })
    setTimeout(() => { others[1]!.close() }, 1500)
    t.ok(await host.waitReady())
    t.match(host.listLines('address in use'), [{ address: `${network}.3:7740 to ${network}.3:7741` }])
    t.match(host.listLines('peer server started'), [{ port: 7741 }])
  })
})
