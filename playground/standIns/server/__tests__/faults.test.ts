import t from 'tap'
import { Client, request } from 'undici'
import { createStandIn } from '../../createStandIn.js'

type Options = Parameters<typeof createStandIn>[0]

async function startStandIn (t: Tap, options: Options): Promise<string> {
  const standIn = createStandIn(options)
  t.teardown(() => standIn.stop())
  return `http://127.0.0.1:${await standIn.start(0)}`
}
type Tap = { teardown: (stop: () => Promise<void>) => void }

async function setFaults (origin: string, faults: unknown): Promise<void> {
  const answer = await request(`${origin}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  await answer.body.dump()
}

async function readLog (origin: string): Promise<{ outcome: string }[]> {
  const answer = await request(`${origin}/control/log`)
  return (await answer.body.text()).trim().split('\n').filter(Boolean).map(line => JSON.parse(line))
}

// A client that lost the response of a write reads the key back, so the write must have taken effect.
t.test('a write whose response is lost takes effect', async t => {
  const origin = await startStandIn(t, { type: 'key-value-service' })
  await setFaults(origin, { loseAnswers: 1 })
  await t.rejects(request(`${origin}/kv/a`, { method: 'PUT', body: '{"value":"x","expectedVersion":0}' }))
  const answer = await request(`${origin}/kv/a`)
  t.match(await answer.body.json(), { value: 'x', version: 1 })
})

t.test('a write during an outage has no effect', async t => {
  const origin = await startStandIn(t, { type: 'key-value-service' })
  await setFaults(origin, { outage: true })
  await t.rejects(request(`${origin}/kv/a`, { method: 'PUT', body: '{"value":"x","expectedVersion":0}' }))
  await setFaults(origin, {})
  t.equal((await request(`${origin}/kv/a`)).statusCode, 404)
})

t.test('calls beyond the rate are refused with 429', async t => {
  const origin = await startStandIn(t, { type: 'key-value-service', writesPerSecond: 1 })
  const write = async (key: string): Promise<number> => (await request(`${origin}/kv/${key}`, { method: 'PUT', body: '{"value":"x","expectedVersion":0}' })).statusCode
  t.same(await Promise.all(['a', 'b', 'c', 'd'].map(write)).then(codes => codes.includes(429)), true)
})

// A closed connection would be detected at once, so tests of silent connections would pass without testing any timeout.
t.test('connections that are open when the fault is set go silent, new ones work', async t => {
  const origin = await startStandIn(t, { type: 'plain-service', serviceMs: 1 })
  const client = new Client(origin, { headersTimeout: 1000 })
  t.teardown(() => client.destroy())
  const call = { path: '/load', method: 'GET' } as const
  await client.request(call).then(answer => answer.body.dump())
  const control = new Client(origin)
  t.teardown(() => control.destroy())
  await control.request({ path: '/control/faults', method: 'POST', body: '{"silent":true}' }).then(answer => answer.body.dump())
  await t.rejects(client.request(call), { code: 'UND_ERR_HEADERS_TIMEOUT' })
  const fresh = new Client(origin)
  t.teardown(() => fresh.destroy())
  t.equal((await fresh.request(call)).statusCode, 200)
})

t.test('a leaving upstream refuses new work and reports its state in every response', async t => {
  const origin = await startStandIn(t, { type: 'model-engine' })
  await setFaults(origin, { leaving: true })
  const answer = await request(`${origin}/v1/completions`, { method: 'POST', body: '{"stream_id":"s","prompt":"p","max_tokens":3}' })
  t.equal(answer.statusCode, 503)
  t.equal(answer.headers['x-upstream-state'], 'leaving')
  t.same(await readLog(origin), [])
})

// Resuming must not start a second generation, and must not skip or repeat a token.
t.test('a stream resumes from an offset after its connection broke', async t => {
  const origin = await startStandIn(t, { type: 'model-engine', stepMs: 2, tickMs: 1 })
  const body = JSON.stringify({ stream_id: 'a/r/generate/1', prompt: 'marker:m length:20', max_tokens: 50 })
  await setFaults(origin, { loseAnswers: 1 })
  const cut = await request(`${origin}/v1/completions`, { method: 'POST', body })
  let text = ''
  await cut.body.forEach(chunk => { text += chunk }).catch(() => {})
  await setFaults(origin, {})
  const offset = [...text.matchAll(/"o":/g)].length
  t.notMatch(text, /"done"/)
  text += await (await request(`${origin}/v1/streams/${encodeURIComponent('a/r/generate/1')}?offset=${offset}`)).body.text()
  const tokens = [...text.matchAll(/"t":"(m\.\d+) "/g)].map(match => match[1])
  t.same(tokens, Array.from({ length: 20 }, (_, offset) => `m.${offset}`))
  t.match(await readLog(origin), [{ requestId: 'r', outcome: 'completed', tokens: 20 }])
})
