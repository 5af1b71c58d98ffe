import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import t from 'tap'
import { createSilentMetrics } from '../../../../playground/fakes/createSilentMetrics.js'
import { KeyValueUnavailableError } from '../../../shared/keyValueUnavailableError.js'
import { systemClock } from '../../../shared/systemClock.js'
import type { Clock } from '../../../types/clock.js'
import { createGrpcPeerTransport } from '../createGrpcPeerTransport.js'
import { peerMethods } from '../peerMethods.js'

type Transport = ReturnType<typeof createGrpcPeerTransport>

async function startTransport (t: { teardown: (run: () => Promise<void>) => unknown }, hostId: string, secret = 'harbour', clock: Clock = systemClock): Promise<{ transport: Transport, address: string }> {
  const transport = createGrpcPeerTransport({ hostId, secret, metrics: createSilentMetrics(), clock })
  const port = await transport.start('127.0.0.1:0')
  t.teardown(async () => { await transport.stop() })
  return { transport, address: `127.0.0.1:${port}` }
}

t.test('hands the authenticated host id of the sender to the handler', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.cancelRequest, (_request, peerId) => ({ found: peerId === 'host-a' }))
  const answer = await a.transport.send(b.address, peerMethods.cancelRequest, { account: 'pier' }, 2000)
  t.equal(answer.found, true)
})

t.test('a typed failure of a handler keeps its code', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => { throw new KeyValueUnavailableError('down') })
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { name: 'PeerRefusedError', code: 'key_value_unavailable' })
})

t.test('a sender with another secret is refused', async t => {
  const a = await startTransport(t, 'host-a', 'other')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'x' }))
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' })
})

t.test('a proof older than 60 s is refused, so that a recorded call cannot be replayed later', async t => {
  const late: Clock = { ...systemClock, readWallMs: () => Date.now() - 61_000 }
  const a = await startTransport(t, 'host-a', 'harbour', late)
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'x' }))
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' })
})

t.test('a stream gives all events, and a silent one breaks', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  let onCancelled = (): void => {}
  const cancelled = new Promise<void>(resolve => { onCancelled = resolve })
  b.transport.handleStream(peerMethods.joinRequest, async function * (_request, _peerId, signal) {
    for (let offset = 0; offset < 100; offset++) yield { type: 'tokens', offset }
    await new Promise(resolve => { signal.addEventListener('abort', resolve) })
    onCancelled()
  })
  const offsets: number[] = []
  const run = async (): Promise<void> => {
    const stream = a.transport.openStream(b.address, peerMethods.joinRequest, {}, 300, new AbortController().signal)
    for await (const event of stream) offsets.push(event.offset ?? -1)
  }
  await t.rejects(run(), { code: 'peer_unavailable' })
  t.same(offsets, Array.from({ length: 100 }, (_, i) => i))
  await cancelled
  t.pass('the handler learns that the reader has gone')
})

t.test('after two timeouts a fresh connection is used, because a connection can go silent for good', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'here' }))
  const [ip, port] = b.address.split(':')
  let accepted = 0
  const sockets: Socket[] = []
  // A relay whose first connection swallows everything and stays open.
  const relay = createServer(socket => {
    sockets.push(socket)
    if (++accepted === 1) { socket.resume(); return }
    const upstream = connect(Number(port), ip)
    sockets.push(upstream)
    socket.pipe(upstream).pipe(socket)
    socket.on('error', () => {})
    upstream.on('error', () => {})
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { sockets.forEach(socket => { socket.destroy() }); relay.close() })
  const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
  await t.rejects(a.transport.send(address, peerMethods.burn, {}, 200), { code: 'peer_unavailable' })
  await t.rejects(a.transport.send(address, peerMethods.burn, {}, 200), { code: 'peer_unavailable' })
  t.match(await a.transport.send(address, peerMethods.burn, {}, 5000), { report: 'here' })
  t.equal(accepted, 2)
})
