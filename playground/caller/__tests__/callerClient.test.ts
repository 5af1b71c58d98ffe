import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { createSeededRandom } from '../../../src/shared/createSeededRandom.js'
import { CallerClient } from '../callerClient.js'

type Handler = (request: IncomingMessage, response: ServerResponse, attempt: number) => void

/** Starts two entry hosts; `handlers` answer the connections of one request in order, whichever host they reach. */
async function startHosts (t: { teardown: (stop: () => unknown) => void }, handlers: readonly Handler[]): Promise<{ client: CallerClient, seen: IncomingMessage[] }> {
  const seen: IncomingMessage[] = []
  const addresses: string[] = []
  for (let host = 0; host < 2; host++) {
    const server = createServer((request, response) => {
      if (request.url === '/v1/route') return response.end(JSON.stringify({ addresses: addresses.map(address => ({ address, failureDomain: 'a' })), lifetimeMs: 5000 }))
      seen.push(request)
      handlers[seen.length - 1]?.(request, response, seen.length - 1)
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    t.teardown(() => { server.closeAllConnections(); server.close() })
  }
  const client = new CallerClient({ account: 'a', token: 't', entryAddresses: addresses, random: createSeededRandom(1), silenceMs: 1000 })
  t.teardown(() => client.close())
  return { client, seen }
}

function sendEvents (response: ServerResponse, events: readonly string[]): void {
  response.writeHead(200, { 'Content-Type': 'text/event-stream' })
  response.write(events.map(event => event + '\n\n').join(''))
}

const tokens = (from: number, to: number): string => {
  const list = Array.from({ length: to - from }, (_, index) => `m.${from + index} `)
  return `event: tokens\nid: 1:${to}\ndata: ${JSON.stringify({ tokens: list })}`
}
const done = (request: IncomingMessage): string => `event: done\ndata: ${JSON.stringify({ requestId: request.headers['request-id'], status: 'completed', tokenCount: 4, result: {} })}`
const query = { kind: 'query', input: { text: 'marker:m length:4' }, marker: 'm', tokenCount: 4, stream: true, deadlineMs: 5000 }

t.test('rejoins at the other address after a broken connection, and after a silent one', async t => {
  const { client, seen } = await startHosts(t, [
    (_request, response) => { sendEvents(response, [tokens(0, 2)]); setTimeout(() => response.destroy(), 20) },
    (_request, response) => sendEvents(response, [tokens(2, 3)]),
    (request, response) => sendEvents(response, [tokens(3, 4), done(request)])
  ])
  const record = await client.sendRequest(query)
  t.match(record, { outcome: 'whole', ran: 'ran', tokenCount: 4, rejoinCount: 2, retryCount: 0 })
  t.same(seen.map(request => request.headers['last-event-id']), [undefined, '1:2', '1:3'])
  t.equal(new Set(seen.map(request => request.headers['request-id'])).size, 1)
  t.not(record.addresses[0], record.addresses[1])
})

// After any answer other than `not_run`, a new id could execute a call twice.
t.test('retries with a new id after not_run, and with the same id while the request may be running', async t => {
  const refuse = (ran: string): Handler => (_request, response) => response.writeHead(503).end(JSON.stringify({ error: { code: 'c', message: 'm', ran, retryAfterMs: 20 } }))
  const { client, seen } = await startHosts(t, [refuse('not_run'), refuse('unknown'), refuse('ran')])
  const record = await client.sendRequest(query)
  t.match(record, { outcome: 'failed', ran: 'ran', code: 'c', retryCount: 2, rejoinCount: 0 })
  const ids = seen.map(request => request.headers['request-id'])
  t.same(ids, [record.requestIds[0], record.requestIds[1], record.requestIds[1]])
})

t.test('records a refusal without a retry hint as final', async t => {
  const { client } = await startHosts(t, [(_request, response) => response.writeHead(503).end(JSON.stringify({ error: { code: 'deadline_unreachable', message: 'm', ran: 'not_run' } }))])
  t.match(await client.sendRequest(query), { outcome: 'refused', ran: 'not_run', code: 'deadline_unreachable' })
})

t.test('records the answer to another request as wrong', async t => {
  const { client } = await startHosts(t, [(request, response) => sendEvents(response, [tokens(0, 2).replaceAll('m.', 'n.'), done(request)])])
  t.match(await client.sendRequest(query), { outcome: 'wrong', violation: /token/ })
})

// A stopping host hands its requests over to another host, so a new id would execute the request a second time.
t.test('sends the request again with the same id after host_stopped', async t => {
  const stop: Handler = (_request, response) => response.writeHead(503).end(JSON.stringify({ error: { code: 'host_stopped', message: 'm', ran: 'unknown' } }))
  const { client, seen } = await startHosts(t, [stop, (request, response) => sendEvents(response, [tokens(0, 4), done(request)])])
  t.match(await client.sendRequest(query), { outcome: 'whole', rejoinCount: 1, retryCount: 0 })
  t.equal(seen[0]?.headers['request-id'], seen[1]?.headers['request-id'])
})
