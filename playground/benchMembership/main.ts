import { createServer, connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createGrpcPeerTransport } from '../../src/node/peers/createGrpcPeerTransport.js'
import { peerMethods } from '../../src/node/peers/peerMethods.js'
import { createSilentMetrics } from '../fakes/createSilentMetrics.js'
import { MembershipCluster } from '../fakes/membershipCluster.js'

const seed = Number(process.argv[2] ?? 1)
const measuredSeconds = 30

/** Prints traffic, processor time and memory of membership by cluster size; the cluster runs under virtual time. */
async function runCluster (size: number): Promise<void> {
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const cluster = new MembershipCluster(seed, 13)
  cluster.addHosts(size)
  const ids = [...cluster.hosts.keys()]
  const isComplete = (): boolean => [...cluster.hosts.values()].every(host => host.membership.listHosts().length === size)
  const joinedMs = await cluster.runUntil(isComplete, 60_000)
  await cluster.clock.runFor(30_000)
  cluster.network.takeTraffic()
  const cpuBefore = process.cpuUsage()
  await cluster.clock.runFor(measuredSeconds * 1000)
  const cpu = process.cpuUsage(cpuBefore)
  const quiet = [...cluster.network.takeTraffic().values()]
  globalThis.gc?.()
  const heapPerHost = (process.memoryUsage().heapUsed - heapBefore) / size
  const victim = ids[1] as string
  cluster.network.removeHost(victim)
  const rest = ids.filter(id => id !== victim)
  const deadMs = await cluster.runUntil(() => cluster.listStates(rest, victim).every(state => state === 'dead'), 60_000)
  cluster.network.takeTraffic()
  for (const id of rest.slice(0, Math.ceil(size / 13))) cluster.network.removeHost(id)
  await cluster.clock.runFor(20_000)
  const busy = [...cluster.network.takeTraffic().values()].slice(1 + Math.ceil(size / 13))
  const averageBytes = (traffic: ReadonlyArray<{ bytes: number }>, seconds: number): number => Math.round(traffic.reduce((sum, host) => sum + host.bytes, 0) / traffic.length / seconds)
  const messages = quiet.reduce((sum, host) => sum + host.messages, 0) / size / measuredSeconds
  console.log(JSON.stringify({
    hosts: size,
    seed,
    joinedMs,
    deadEverywhereMs: deadMs,
    messageBytesPerHostSecond: averageBytes(quiet, measuredSeconds),
    messagesPerHostSecond: Number(messages.toFixed(2)),
    messageBytesPerHostSecondWhenADomainFails: averageBytes(busy, 20),
    cpuMsPerHostSecond: Number(((cpu.user + cpu.system) / 1000 / size / measuredSeconds).toFixed(3)),
    heapKbPerHost: Math.round(heapPerHost / 1024)
  }))
}

/** Prints bytes on the wire and processor time of real pings between two gRPC transports, both ends in this process. */
async function runWire (pings: number): Promise<void> {
  const [a, b] = ['host-a', 'host-b'].map(hostId => createGrpcPeerTransport({ hostId, secret: 'bench', metrics: createSilentMetrics() })) as [ReturnType<typeof createGrpcPeerTransport>, ReturnType<typeof createGrpcPeerTransport>]
  const port = await b.start('127.0.0.1:0')
  b.handle(peerMethods.ping, () => ({ reached: true }))
  let wireBytes = 0
  const relay = createServer(socket => {
    const upstream = connect(port, '127.0.0.1')
    socket.on('data', data => { wireBytes += data.length })
    upstream.on('data', data => { wireBytes += data.length })
    socket.pipe(upstream).pipe(socket)
    socket.on('error', () => {})
    upstream.on('error', () => {})
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
  await a.send(address, peerMethods.ping, {}, 5000)
  const connectBytes = wireBytes
  const messageBytes = peerMethods.ping.encodeRequest({}).length + peerMethods.ping.encodeResponse({ reached: true }).length
  wireBytes = 0
  const cpuBefore = process.cpuUsage()
  for (let i = 0; i < pings; i++) await a.send(address, peerMethods.ping, {}, 5000)
  const cpu = process.cpuUsage(cpuBefore)
  console.log(JSON.stringify({
    pings,
    firstCallWireBytes: connectBytes,
    overheadBytesPerCall: Math.round(wireBytes / pings - messageBytes),
    cpuMsPerCallBothEnds: Number(((cpu.user + cpu.system) / 1000 / pings).toFixed(3))
  }))
  await a.stop()
  await b.stop()
  relay.close()
}

async function runAll (): Promise<void> {
  for (const size of [5, 50, 340]) await runCluster(size)
  await runWire(2000)
}

runAll().then(() => process.exit(0), (error: unknown) => {
  console.error(error)
  process.exit(1)
})
