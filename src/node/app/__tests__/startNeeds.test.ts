import { once } from 'node:events'
import { Agent, get } from 'node:http'
import { connect, createServer } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { FaultProxy } from '../../../../playground/soak/faultProxy.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { HostProcess } from '../../../../playground/platform/hostProcess.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { Server } from 'node:net'

interface HostOptions extends Partial<Pick<ConstructorParameters<typeof HostProcess>[0], 'firstPort' | 'storeAddress' | 'editSettings' | 'descriptorLimit'>> {
  /** Last byte of the loopback address. */
  readonly host: number
}

/** Loopback network of this file. */
const network = '127.2.252'
/** More than the time after which a host answers. */
const requestTimeoutMs = 4000

t.test('what a host needs from outside to be ready', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => { socket.write(buildStandInAnswer(request, { body: 'ok' })) }).start()
  fleet.writeConfiguration({ services: [{ name: 'shop' }], routes: [{ pathPrefix: '/shop/', service: 'shop' }] })
  fleet.addUpstream(upstream, 'shop')
  t.teardown(() => {
    upstream.stop()
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
    await waitUntil(() => hosts.every(host => findPeerPort(host.process.id) > 0))
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
    while (host.process.isRunning && host.listLines('address in use').length === 0) await delay(50)
    t.match(host.listLines('address in use'), [{ address: `${network}.3:7740 to ${network}.3:7741` }])
    others[1]!.close()
    t.ok(await host.waitReady())
    t.match(host.listLines('peer server started'), [{ port: 7741 }])
  })

  t.test('guards against a host that does not start for settings that it can serve without', async t => {
    const editSettings = (text: string): string => text
      .replace(/internalPortRange.*\n|directory = .*\n|\[limits\][^[]*/g, '')
      .replace(/\[bounds\][^[]*/, '[bounds]\ndrainMs = false\n')
    const host = startHost({ host: 5, editSettings })
    t.ok(await host.waitReady())
    t.match(host.listLines('setting not readable'), [{ setting: 'bounds.drainMs', value: 'false' }])
  })

  t.test('guards against a host that opens no port until it reaches the store', async t => {
    const store = await new FaultProxy(fleet.store.address).start()
    t.teardown(() => { store.stop() })
    store.applyFault('silent')
    const host = startHost({ host: 6, storeAddress: store.address })
    await waitUntil(() => host.listLines('host started').length > 0)
    t.equal(await sendRequest(host, '/shop/x', new Agent()), 503)
    t.equal(await fetch(`http://${network}.6:7002/-/readiness`).then(({ status }) => status, error => String(error)), 503)
    store.applyFault('none')
    t.ok(await host.waitReady())
    t.equal(await sendRequest(host, '/shop/x', new Agent()), 200)
  })

  t.test('guards against clients that use up the descriptors of a host and fail its requests or end it', async t => {
    const host = startHost({ host: 4, descriptorLimit: 120 })
    t.ok(await host.waitReady())
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    t.equal(await sendRequest(host, '/none', agent), 404)
    const sockets = Array.from({ length: 300 }, () => connect(7001, `${network}.4`).on('error', () => {}))
    await delay(1500)
    t.equal(await sendRequest(host, '/shop/x', agent), 200)
    t.same(host.listLines('unexpected error'), [])
    for (const socket of sockets) socket.destroy()
    await delay(300)
    t.equal(await sendRequest(host, '/shop/x'), 200)
    agent.destroy()
  })

  t.test('guards against connections to the peer port that use up the descriptors of a host', async t => {
    const host = startHost({ host: 7, descriptorLimit: 120 })
    t.ok(await host.waitReady())
    const sockets = Array.from({ length: 300 }, () => connect(7740, `${network}.7`).on('error', () => {}))
    t.teardown(() => { for (const socket of sockets) socket.destroy() })
    await delay(1500)
    t.equal(await sendRequest(host, '/shop/x', new Agent()), 200)
    t.same(host.listLines('unexpected error'), [])
  })
})

/** Resolves with the status of the answer, or with the code of the error. */
async function sendRequest ({ clientAddress }: HostProcess, path: string, agent?: Agent): Promise<number | string | undefined> {
  const headers = { host: 'shop.example', 'x-request-id': `${path}-${Math.random()}`, 'x-time-remaining': '2000' }
  return await new Promise(resolve => {
    get(`http://${clientAddress}${path}`, { agent, headers, signal: AbortSignal.timeout(requestTimeoutMs) }, response => {
      response.resume().on('end', () => { resolve(response.statusCode) })
    }).on('error', (error: NodeJS.ErrnoException) => { resolve(error.code) })
  })
}
