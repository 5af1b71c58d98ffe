import { createServer, connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createGrpcPeerTransport } from '../../src/node/peers/createGrpcPeerTransport.js'
import { peerMethods } from '../../src/node/peers/peerMethods.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'

interface WireCost {
  readonly pings: number
  readonly firstCallWireBytes: number
  readonly overheadBytesPerCall: number
  readonly cpuMsPerCallBothEnds: number
}

/** Measures the bytes on the wire and the CPU time of real pings between two gRPC transports, both ends in this process. */
export async function runMembershipWire (pings: number): Promise<WireCost> {
  const [a, b] = ['host-a', 'host-b'].map(hostId => createGrpcPeerTransport({ hostId, secret: 'bench', metrics: createMemoryMetrics() })) as [ReturnType<typeof createGrpcPeerTransport>, ReturnType<typeof createGrpcPeerTransport>]
  const port = await b.start('127.0.0.1:0')
  b.handle(peerMethods.ping, () => ({ reached: true }))
  let wireBytes = 0
  const relay = createServer(socket => {
    const upstream = connect(port, '127.0.0.1')
    // Small messages that wait for acknowledgements would make the run last minutes.
    socket.setNoDelay(true)
    upstream.setNoDelay(true)
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
  const cost = {
    pings,
    firstCallWireBytes: connectBytes,
    overheadBytesPerCall: Math.round(wireBytes / pings - messageBytes),
    cpuMsPerCallBothEnds: Number(((cpu.user + cpu.system) / 1000 / pings).toFixed(3))
  }
  await a.stop()
  await b.stop()
  relay.close()
  return cost
}
