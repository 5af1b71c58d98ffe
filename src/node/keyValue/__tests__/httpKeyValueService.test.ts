import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { sendEndlessAnswer } from '../../../../playground/platform/sendEndlessAnswer.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { EndlessAnswer } from '../../../../playground/platform/endlessAnswer.js'
import type { KeyValueChange } from '../../../types/keyValueChange.js'
import { createHttpHostList } from '../createHttpHostList.js'
import { createHttpKeyValueService } from '../createHttpKeyValueService.js'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

async function startService (t: { teardown: (run: () => unknown) => unknown }, handler: Handler): Promise<string> {
  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => { handler(request, response) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.closeAllConnections(); server.close() })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function createService (t: { teardown: (run: () => unknown) => unknown }, baseUrl: string): ReturnType<typeof createHttpKeyValueService> {
  const service = createHttpKeyValueService({ baseUrl, hostId: 'host-1' })
  t.teardown(async () => { await service.close() })
  return service
}

t.test('maps HTTP responses to results', async t => {
  const seen: string[] = []
  const service = createService(t, await startService(t, (request, response) => {
    seen.push(`${request.method} ${request.url} ${request.headers['x-host-id']}`)
    if (request.method === 'PUT') { response.writeHead(409).end('{"version":4}'); return }
    if (request.url === '/kv/a/none') { response.writeHead(404).end('{}'); return }
    response.end('{"key":"a/b","value":"x","version":2}')
  }))
  t.same(await service.read('a/b'), { key: 'a/b', value: 'x', version: 2 })
  t.equal(await service.read('a/none'), undefined)
  t.same(await service.compareAndSwap('a/b', 2, 'y'), { swapped: false, version: 4 })
  t.matchSnapshot(seen)
})

t.test('a write whose connection closes without an answer is uncertain', async t => {
  const service = createService(t, await startService(t, request => { request.socket.destroy() }))
  await t.rejects(service.compareAndSwap('a', 0, 'x'), { code: 'key_value_uncertain' })
  await t.rejects(service.read('a'), { code: 'key_value_unavailable' })
})

t.test('a write that cannot connect or is rejected with status 503 had no effect', async t => {
  const unreachable = createService(t, 'http://127.0.0.1:1')
  await t.rejects(unreachable.compareAndSwap('a', 0, 'x'), { code: 'key_value_unavailable' })
  const down = createService(t, await startService(t, (_request, response) => { response.writeHead(503).end('{}') }))
  await t.rejects(down.compareAndSwap('a', 0, 'x'), { code: 'key_value_unavailable' })
})

t.test('after a timeout a new connection is used, because an open one can stay silent', async t => {
  const ports = new Set<number | undefined>()
  const service = createService(t, await startService(t, (request, response) => {
    ports.add(request.socket.remotePort)
    if (ports.size > 1) response.end('{"version":1,"revision":1}')
  }))
  await t.rejects(service.compareAndSwap('a', 0, 'x'), { code: 'key_value_uncertain' })
  t.same(await service.compareAndSwap('a', 0, 'x'), { swapped: true, version: 1 })
})

t.test('a silent watch is reopened after the last revision received', async t => {
  const urls: string[] = []
  const service = createService(t, await startService(t, (request, response) => {
    urls.push(request.url ?? '')
    const revision = 5 + urls.length
    response.write(`{"key":"k","value":"v","version":1,"revision":${revision}}\n`)
    if (urls.length === 2) response.write('\n')
  }))
  const changes: KeyValueChange[] = []
  const controller = new AbortController()
  await new Promise<void>(resolve => {
    service.watch('k', 5, change => { changes.push(change) }, controller.signal, resolve)
  })
  controller.abort()
  t.same(changes.map(change => change.revision), [6, 7])
  t.same(urls, ['/watch?prefix=k&after=5', '/watch?prefix=k&after=6'])
})

t.test('an unreadable host list is reported as unavailable', async t => {
  const hosts = createHttpHostList({ baseUrl: await startService(t, (_request, response) => { response.end('{"hosts":[{}]}') }), hostId: 'host-1' })
  t.teardown(async () => { await hosts.close() })
  await t.rejects(hosts.read(), { code: 'host_list_unavailable' })
})

async function startEndlessService (t: { teardown: (run: () => unknown) => unknown }, answer: EndlessAnswer): Promise<string> {
  const upstream = await new UpstreamStandIn('i-endless', (request, socket) => { sendEndlessAnswer(socket, request, answer) }).start()
  t.teardown(() => { upstream.stop() })
  return `http://${upstream.address}`
}

for (const [name, answer] of Object.entries(endlessAnswers).filter(([, { isStream }]) => isStream !== true)) {
  t.test(`guards against ${name} without end that keeps a call until its timeout`, async t => {
    const service = createService(t, await startEndlessService(t, answer))
    await t.rejects(service.compareAndSwap('a', 0, 'x'), { code: 'key_value_uncertain', cause: { isTimeout: false } })
  })
}

t.test('lists of the size of a large installation are read whole', async t => {
  const entries = Array.from({ length: 8000 }, (_, index) => ({ key: `k/${index}`, value: 'é'.repeat(350), version: 1 }))
  const service = createService(t, await startService(t, (_request, response) => { response.end(JSON.stringify({ entries, revision: 7 })) }))
  t.equal((await service.list('k/')).entries.length, entries.length)
  t.same((await service.list('k/')).entries.at(-1), entries.at(-1))
})

t.test('lines of a watch that arrive in pieces are read whole', async t => {
  const value = 'é'.repeat(20)
  const line = Buffer.from(`{"key":"k","value":"${value}","version":1,"revision":6}\n`)
  const service = createService(t, await startService(t, (_request, response) => {
    const sendPiece = (index: number): void => {
      if (index >= line.length) return
      response.write(line.subarray(index, index + 7), () => { sendPiece(index + 7) })
    }
    sendPiece(0)
  }))
  const controller = new AbortController()
  const change = await new Promise<KeyValueChange>(resolve => { service.watch('k', 5, resolve, controller.signal) })
  controller.abort()
  t.same(change, { key: 'k', value, version: 1, revision: 6 })
})

for (const [name, rest] of [['a line', 'x'.repeat(16_384)], ['heartbeats', '\n'.repeat(16_384)]] as const) {
  t.test(`guards against ${name} without end that a watch reads until the service closes`, async t => {
    let closed = 0
    const upstream = await new UpstreamStandIn('i-endless', (request, socket) => {
      socket.once('close', () => { closed++ })
      sendEndlessAnswer(socket, request, { start: () => 'HTTP/1.1 200 OK\r\n\r\n', rest })
    }).start()
    t.teardown(() => { upstream.stop() })
    const service = createService(t, `http://${upstream.address}`)
    const controller = new AbortController()
    service.watch('k', 5, () => {}, controller.signal)
    await waitUntil(() => closed > 0)
    t.ok(closed > 0, 'the host has closed the connection')
    controller.abort()
  })
}

t.test('guards against answers that fill the host together while each is within its limit', async t => {
  const part = 'x'.repeat(4_194_304)
  const service = createService(t, await startService(t, (_request, response) => { response.write(part) }))
  const outcomes = await Promise.all(Array.from({ length: 8 }, async () => {
    return await service.compareAndSwap('a', 0, 'x').then(() => undefined, error => (error as { cause?: unknown }).cause)
  }))
  // The service does not end its answers, so a call that has room for its part fails by its timeout.
  const refused = outcomes.filter(cause => (cause as { isTimeout?: boolean }).isTimeout === false)
  t.ok(refused.length >= 3, `${refused.length} of 8 calls were ended`)
})
