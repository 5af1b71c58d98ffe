import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

interface RawClient {
  readonly write: (text: string) => void
  /** Resolves when the host has sent this text. */
  readonly waitText: (text: string) => Promise<void>
  readonly getText: () => string
  readonly isClosed: () => boolean
  readonly getError: () => string | undefined
}

function openClient (address: string): RawClient {
  const [host, port] = address.split(':')
  let text = ''
  let error: string | undefined
  const socket = connect({ host: host!, port: Number(port) })
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('error', (cause: NodeJS.ErrnoException) => { error = cause.code })
  t.teardown(() => { socket.destroy() })
  return {
    write: part => { socket.write(part, 'latin1') },
    waitText: async wanted => { await waitUntil(() => text.includes(wanted) || socket.closed) },
    getText: () => text,
    isClosed: () => socket.closed,
    getError: () => error
  }
}

function buildHead (id: string, path: string, fields: Readonly<Record<string, string | number>>): string {
  const lines = Object.entries({ host: 'shop.example', 'x-request-id': id, ...fields }).map(([name, value]) => `${name}: ${value}\r\n`)
  return `POST ${path} HTTP/1.1\r\n${lines.join('')}\r\n`
}

t.test('bodies of requests', async t => {
  const fleet = await new GatewayTestHarness('host-1', undefined, { memoryBytes: 167_772_160 }).start()
  const upstream = await new UpstreamStandIn('i-a', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  let isStopped = false
  t.teardown(async () => {
    if (!isStopped) await fleet.stop()
    upstream.stop()
  })
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop' }],
    routes: [{ pathPrefix: '/once/', service: 'shop', kind: 'unsafe', timeoutMs: 20_000 }],
    tenants: [{ name: 'a', apiKeys: ['key-a'] }, { name: 'b', apiKeys: ['key-b'] }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 5_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  })
  fleet.addUpstream(upstream, 'shop')
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-a')
  const { clientAddress } = fleet.settings
  const open = (): RawClient => openClient(clientAddress)
  const keyA = { authorization: 'Token key-a' }
  const keyB = { authorization: 'Token key-b' }
  const rest = 'x'.repeat(200_000)

  const wholeChunked = `${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`

  const refusals: ReadonlyArray<readonly [string, string, string, Readonly<Record<string, string | number>>, string]> = [
    ['a body that is too large', '413', '/once/x', { ...keyA, 'content-length': 5_000_001 }, 'keep-alive'],
    ['a body that is too large to be skipped', '413', '/once/x', { ...keyA, 'content-length': 20_000_000 }, 'close'],
    ['an unknown route', '404', '/none/x', { ...keyA, 'content-length': 200_000 }, 'keep-alive'],
    ['an unknown key', '401', '/once/x', { authorization: 'Token none', 'content-length': 200_000 }, 'keep-alive'],
    ['a chunked body for an unknown route', '404', '/none/x', { ...keyA, 'transfer-encoding': 'chunked' }, 'close']
  ]
  for (const [what, status, path, fields, connection] of refusals) {
    t.test(`guards against reading all of a request that is not served: ${what}`, async t => {
      const client = open()
      client.write(buildHead(`refused-${status}`, path, fields))
      await client.waitText('"}')
      t.match(client.getText(), new RegExp(`^HTTP/1.1 ${status} [^]*connection: ${connection}`, 'i'))
      client.write(rest)
      await delay(50)
      t.equal(client.getError(), undefined, 'a client that goes on sending is not reset')
    })
  }

  t.test('guards against a refused request of which the client cannot read the response', async t => {
    const client = open()
    client.write(buildHead('whole', '/none/x', { ...keyA, 'transfer-encoding': 'chunked' }) + wholeChunked)
    await waitUntil(() => client.isClosed())
    t.match(client.getText(), /^HTTP\/1.1 404/)
    t.equal(client.getError(), undefined)
  })

  t.test('guards against a request that is passed on behind a response that closes its connection', async t => {
    const client = open()
    const next = buildHead('behind', '/once/x', { ...keyA, 'content-length': 2 }) + 'ab'
    client.write(buildHead('before', '/none/x', { ...keyA, 'transfer-encoding': 'chunked' }) + wholeChunked + next)
    await waitUntil(() => client.isClosed())
    await delay(50)
    t.match(client.getText(), /^HTTP\/1.1 404/)
    t.notOk(upstream.requests.some(({ headers }) => headers['x-request-id'] === 'behind'))
  })

  t.test('guards against a refusal of a short request that costs its connection', async t => {
    const client = open()
    client.write(buildHead('short', '/none/x', { ...keyA, 'content-length': 2 }) + 'ab')
    await client.waitText('404')
    client.write(buildHead('next', '/once/x', { ...keyA, 'content-length': 2 }) + 'ab')
    await client.waitText('200 OK')
    t.match(client.getText(), /^HTTP\/1.1 404[^]*HTTP\/1.1 200 OK/)
  })

  t.test('guards against a body that is asked for before the request is refused', async t => {
    const fields = { expect: '100-continue', 'content-length': 2 }
    const refused = open()
    refused.write(buildHead('asks-1', '/none/x', { ...keyA, ...fields }))
    await refused.waitText('"}')
    t.match(refused.getText(), /^HTTP\/1.1 404/)
    const admitted = open()
    admitted.write(buildHead('asks-2', '/once/x', { ...keyA, ...fields }))
    await admitted.waitText('100 Continue')
    admitted.write('ab')
    await admitted.waitText('200 OK')
    t.match(admitted.getText(), /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/)
  })

  t.test('guards against a body that is awaited for longer than its client waits', async t => {
    const client = open()
    client.write(buildHead('slow', '/once/x', { ...keyA, 'content-length': 3, 'x-time-remaining': 300 }) + 'ab')
    await client.waitText('"}')
    t.match(client.getText(), /^HTTP\/1.1 408 [^]*request_timeout/)
    t.notOk(upstream.requests.some(({ headers }) => headers['x-request-id'] === 'slow'))
  })

  t.test('guards against bodies of one account that cost the requests of others', async t => {
    const fields = { ...keyA, 'content-length': 4_000_000, 'x-time-remaining': 2500 }
    const first = open()
    first.write(buildHead('held-1', '/once/x', fields))
    await delay(50)
    const second = open()
    second.write(buildHead('held-2', '/once/x', fields))
    await second.waitText('"}')
    t.match(second.getText(), /^HTTP\/1.1 503 [^]*retry-after: 0.4[^]*memory_used_up/i)
    const chunked = open()
    const size = 64_000
    chunked.write(buildHead('held-3', '/once/x', { ...keyA, 'transfer-encoding': 'chunked' }))
    for (let i = 0; i < 60; i++) chunked.write(`${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`)
    await chunked.waitText('"}')
    t.match(chunked.getText(), /^HTTP\/1.1 503 [^]*memory_used_up/)
    const other = open()
    other.write(buildHead('other', '/once/x', { ...keyB, 'content-length': 100_000 }) + 'x'.repeat(100_000))
    await other.waitText('200 OK')
    t.match(other.getText(), /^HTTP\/1.1 200/)
    await fleet.waitForLogLine('memory for requests used up', '"group":"account a"')
    await first.waitText('"}')
    t.match(first.getText(), /^HTTP\/1.1 408/)
    const after = open()
    after.write(buildHead('after', '/once/x', { ...keyA, 'content-length': 4_000_000 }))
    await delay(50)
    t.equal(after.getText(), '', 'admitted again')
  })

  t.test('guards against clients without a response whose body is still read at the end of the drain', async t => {
    const client = open()
    client.write(buildHead('last', '/once/x', { ...keyB, 'content-length': 3 }) + 'ab')
    await delay(50)
    isStopped = true
    await fleet.stop()
    await waitUntil(() => client.isClosed())
    t.match(client.getText(), /^HTTP\/1.1 503 [^]*host_stopping/)
  })
})
