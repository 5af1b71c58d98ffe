import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import t from 'tap'
import { createMemoryMetrics } from '../../../../playground/fakes/createMemoryMetrics.js'
import { isAddressInUse } from '../../listeners/isAddressInUse.js'
import { KeyValueUnavailableError } from '../../../shared/keyValueUnavailableError.js'
import { systemClock } from '../../../shared/systemClock.js'
import type { Clock } from '../../../types/clock.js'
import { createGrpcPeerTransport } from '../createGrpcPeerTransport.js'
import { peerMethods } from '../peerMethods.js'

type Transport = ReturnType<typeof createGrpcPeerTransport>

async function startTransport (t: { teardown: (run: () => Promise<void>) => unknown }, hostId: string, secret = 'harbour', clock: Clock = systemClock): Promise<{ transport: Transport, address: string }> {
  const transport = createGrpcPeerTransport({ hostId, secret, metrics: createMemoryMetrics(), clock })
  const port = await transport.start('127.0.0.1:0')
  t.teardown(async () => { await transport.stop() })
  return { transport, address: `127.0.0.1:${port}` }
}

t.test('the handler receives the authenticated host id of the sender', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.cancelRequest, (_request, peerId) => ({ found: peerId === 'host-a' }))
  const response = await a.transport.send(b.address, peerMethods.cancelRequest, { account: 'pier' }, 2000)
  t.equal(response.found, true)
})

t.test('an error of a handler keeps its code', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => { throw new KeyValueUnavailableError('down') })
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { name: 'PeerRefusedError', code: 'key_value_unavailable' })
})

t.test('a sender with a different secret is rejected', async t => {
  const a = await startTransport(t, 'host-a', 'other')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'x' }))
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' })
})

t.test('guards against hosts that refuse each other while one of them does not know a replaced secret', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  const stranger = await startTransport(t, 'host-c', 'pier')
  for (const { transport } of [a, b, stranger]) transport.handle(peerMethods.burn, () => ({ report: 'x' }))
  a.transport.setSecret('pier')
  for (const [from, to] of [[a, b], [b, a], [a, stranger], [stranger, a]] as const) {
    t.match(await from.transport.send(to.address, peerMethods.burn, {}, 2000), { report: 'x' })
  }
  await t.rejects(b.transport.send(stranger.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' })
  for (const secret of ['quay', 'mole', 'dock']) a.transport.setSecret(secret)
  await t.rejects(b.transport.send(a.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' }, 'only the last ones are accepted')
})

t.test('a proof older than 60 s is rejected, so that a recorded call cannot be replayed later', async t => {
  const delayedClock: Clock = { ...systemClock, readWallMs: () => Date.now() - 61_000 }
  const a = await startTransport(t, 'host-a', 'harbour', delayedClock)
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'x' }))
  await t.rejects(a.transport.send(b.address, peerMethods.burn, {}, 2000), { code: 'peer_unauthenticated' })
})

t.test('a stream delivers all events and fails when it stays silent', async t => {
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
  t.pass('the signal of the handler aborts when the reader has gone')
})

t.test('after two timeouts a new connection is used, because an established one can stay silent forever', async t => {
  const a = await startTransport(t, 'host-a')
  const b = await startTransport(t, 'host-b')
  b.transport.handle(peerMethods.burn, () => ({ report: 'here' }))
  const [ip, port] = b.address.split(':')
  let accepted = 0
  const sockets: Socket[] = []
  // A proxy that discards everything sent on its first connection and keeps that connection open.
  const proxy = createServer(socket => {
    sockets.push(socket)
    if (++accepted === 1) { socket.resume(); return }
    const upstream = connect(Number(port), ip)
    sockets.push(upstream)
    socket.pipe(upstream).pipe(socket)
    socket.on('error', () => {})
    upstream.on('error', () => {})
  })
  await new Promise<void>(resolve => { proxy.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { sockets.forEach(socket => { socket.destroy() }); proxy.close() })
  const address = `127.0.0.1:${(proxy.address() as AddressInfo).port}`
  await t.rejects(a.transport.send(address, peerMethods.burn, {}, 200), { code: 'peer_unavailable' })
  await t.rejects(a.transport.send(address, peerMethods.burn, {}, 200), { code: 'peer_unavailable' })
  t.match(await a.transport.send(address, peerMethods.burn, {}, 5000), { report: 'here' })
  t.equal(accepted, 2)
})

t.test('guards against a process that takes the address between two attempts of a start and ends it', async t => {
  const { address, transport } = await startTransport(t, 'host-a')
  await transport.stop()
  const [host, port] = address.split(':')
  const rival = createServer().unref()
  t.teardown(() => { rival.close() })
  let isDone = false
  rival.on('error', () => { if (!isDone) setImmediate(() => rival.listen(Number(port), host)) })
  const starting = createGrpcPeerTransport({ hostId: 'host-b', secret: 'harbour', metrics: createMemoryMetrics() })
  t.teardown(async () => { await starting.stop() })
  const outcome = starting.start(address).then(() => 'started', error => isAddressInUse(error) ? 'in use' : String(error))
  setImmediate(() => rival.listen(Number(port), host))
  t.match(await outcome.finally(() => { isDone = true }), /^(started|in use)$/)
})
