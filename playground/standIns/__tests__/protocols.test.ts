import { setTimeout as waitMs } from 'node:timers/promises'
import t from 'tap'
import { request } from 'undici'
import { createStandIn } from '../createStandIn.js'
import { ResponseReorderer } from '../server/responseReorderer.js'

type Options = Parameters<typeof createStandIn>[0]
type Tap = { teardown: (stop: () => Promise<void>) => void }
interface Answer { readonly status: number, readonly headers: Record<string, unknown>, readonly body: Record<string, unknown> }

async function startStandIn (t: Tap, options: Options): Promise<(method: string, path: string, body?: unknown) => Promise<Answer>> {
  const standIn = createStandIn(options)
  t.teardown(() => standIn.stop())
  const origin = `http://127.0.0.1:${await standIn.start(0)}`
  return async (method, path, body) => {
    const answer = await request(origin + path, { method: method as 'GET', body: body === undefined ? undefined : JSON.stringify(body) })
    return { status: answer.statusCode, headers: answer.headers, body: await answer.body.json() as Record<string, unknown> }
  }
}

t.test('a watch replays the changes after its revision, then sends new ones', async t => {
  const standIn = createStandIn({ type: 'key-value-service' })
  t.teardown(() => standIn.stop())
  const origin = `http://127.0.0.1:${await standIn.start(0)}`
  const write = (key: string): Promise<unknown> => request(`${origin}/kv/${key}`, { method: 'PUT', body: '{"value":"x","expectedVersion":0}' })
  await write('a/1')
  await write('b/1')
  await write('a/2')
  const watch = await request(`${origin}/watch?prefix=a/&after=1`)
  let text = ''
  for await (const chunk of watch.body) {
    text += chunk
    if (text.includes('a/2')) await write('a/3')
    if (text.includes('a/3')) break
  }
  t.same(text.split('\n').filter(Boolean).map(line => JSON.parse(line).revision), [3, 4])
})

// A partitioned host must run into its timeout instead of an error, and its writes must not take effect.
t.test('a host listed in cutFrom gets no response, other hosts do', async t => {
  const standIn = createStandIn({ type: 'key-value-service' })
  t.teardown(() => standIn.stop())
  const origin = `http://127.0.0.1:${await standIn.start(0)}`
  await request(`${origin}/control/faults`, { method: 'POST', body: '{"cutFrom":["host-1"]}' })
  const write = request(`${origin}/kv/a`, { method: 'PUT', body: '{"value":"x","expectedVersion":0}', headers: { 'x-host-id': 'host-1' }, headersTimeout: 300 })
  await t.rejects(write, { code: 'UND_ERR_HEADERS_TIMEOUT' })
  t.equal((await request(`${origin}/kv/a`, { headers: { 'x-host-id': 'host-2' } })).statusCode, 404)
})

t.test('the host list serves the list of lagMs ago', async t => {
  const call = await startStandIn(t, { type: 'host-list', lagMs: 60_000 })
  const build = (id: string): unknown => ({ hosts: [{ id, address: '127.0.0.1:1', role: 'entry', failureDomain: 'a', state: 'live' }] })
  await call('PUT', '/hosts', build('first'))
  await call('PUT', '/hosts', build('second'))
  t.match((await call('GET', '/hosts')).body, { hosts: [{ id: 'first' }] })
  await call('POST', '/control/faults', { lagMs: 0 })
  t.match((await call('GET', '/hosts')).body, { hosts: [{ id: 'second' }] })
})

// Without the check a placement holder whose lease has expired could still load and unload models.
t.test('an engine refuses an outdated fencing number unless ignoreFencing is set', async t => {
  const call = await startStandIn(t, { type: 'model-engine', loadMs: 0 })
  const order = { order: 'load', model: 'm', version: '2' }
  t.equal((await call('POST', '/orders', { ...order, fencing: 5 })).status, 202)
  t.match(await call('POST', '/orders', { ...order, fencing: 4 }), { status: 409, body: { fencing: 5 } })
  await call('POST', '/control/faults', { ignoreFencing: true })
  t.equal((await call('POST', '/orders', { ...order, fencing: 4 })).status, 202)
})

t.test('an exported prefix can be imported by an engine of the same version', async t => {
  const options = { type: 'model-engine', cacheEventDelayMs: 0, stepMs: 1, tickMs: 0 } as const
  const source = await startStandIn(t, options)
  const target = await startStandIn(t, options)
  await source('POST', '/v1/completions', { stream_id: 's', prompt: 'context '.repeat(50), max_tokens: 1 }).catch(() => {})
  const events = (await source('GET', '/cache/events?after=0')).body.events as { prefixHash: string }[]
  const exported = (await source('POST', '/cache/export', { prefixHash: events[0]?.prefixHash })).body
  t.equal((await target('POST', '/cache/import', exported)).status, 200)
  t.equal((await target('POST', '/cache/import', { ...exported, version: '9' })).status, 409)
  t.match((await target('GET', '/cache/events?after=0')).body, { events: [{ type: 'stored', prefixHash: events[0]?.prefixHash }], latest: 1 })
})

t.test('the weight store refuses calls beyond its rate with 429 and Retry-After', async t => {
  const call = await startStandIn(t, { type: 'weight-store', fetchesPerSecond: 0.001, transferMs: 1 })
  const fetch = { model: 'm', version: '1' }
  t.equal((await call('POST', '/fetch', fetch)).status, 200)
  t.match(await call('POST', '/fetch', fetch), { status: 429, headers: { 'retry-after': '1000' } })
})

t.test('a stage pool responds with the call id, the marker and a digest of the input', async t => {
  const call = await startStandIn(t, { type: 'stage-pool', serviceMs: 1 })
  const send = (input: unknown): Promise<Answer> => call('POST', '/v1/rerank', { call_id: 'a/r/rank/1', input })
  const first = await send({ text: 'marker:m-1' })
  t.match(first.body, { call_id: 'a/r/rank/1', output: { callId: 'a/r/rank/1', marker: 'm-1', digest: /^[0-9a-f]{8}$/ } })
  t.not((await send({ text: 'marker:m-1 other' })).body.output, first.body.output)
})

// Reordering exposes clients that match responses by order instead of by call id.
t.test('the reorder fault sends a later response first', async t => {
  const order = new ResponseReorderer()
  const sent: string[] = []
  await Promise.all(['first', 'second', 'alone'].map(async name => {
    await order.waitTurn()
    sent.push(name)
  }))
  t.same(sent, ['second', 'first', 'alone'])
})

t.test('a load report shows the load of reportLagMs ago, and leaving at once', async t => {
  const call = await startStandIn(t, { type: 'plain-service', serviceMs: 5000, reportLagMs: 0 })
  call('POST', '/call/issue', { call_id: '1', input: {} }).catch(() => {})
  const isRunning = async (): Promise<boolean> => (await call('GET', '/load')).body.running === 1
  for (let tries = 0; tries < 100 && !await isRunning(); tries++) await waitMs(20)
  t.match((await call('GET', '/load')).body, { running: 1, slots: 8, state: 'live' })
  await call('POST', '/control/faults', { reportLagMs: 10_000, leaving: true })
  t.match((await call('GET', '/load')).body, { running: 0, state: 'leaving' })
})
