import t from 'tap'
import { Client } from 'undici'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

t.test('caller API', async t => {
  const fleet = await new RequestTestFleet({ bodyTimeoutMs: 400 }).start()
  const host = fleet.hosts[0]!
  t.teardown(async () => await fleet.stop())
  const post = async (body: unknown, headers = {}) => await host.send('POST', '/v1/requests', body, headers)
  const getError = (text: string) => (JSON.parse(text) as { error: { code: string, ran: string } }).error

  t.test('a pipeline streams its tokens in order and ends with done', async t => {
    const response = await post({ kind: 'query', input: { text: 'marker:m1 length:5' }, stream: true }, { 'request-id': 'stream-1' })
    t.equal(response.headers['content-type'], 'text/event-stream')
    t.equal(response.headers['request-id'], 'stream-1')
    const tokens = [...response.text.matchAll(/data: (\{"tokens".*\})/g)].flatMap(match => (JSON.parse(match[1]!) as { tokens: string[] }).tokens)
    t.same(tokens, ['m1.0 ', 'm1.1 ', 'm1.2 ', 'm1.3 ', 'm1.4 '])
    t.match(response.text, /id: 1:5\n/)
    t.match(response.text, /event: done\ndata: \{"requestId":"stream-1","status":"completed","tokenCount":5,"result":\{\}\}\n\n$/)
  })

  t.test('a JSON response contains the generated text, or the output of a call', async t => {
    const generated = JSON.parse((await post({ kind: 'short', input: { text: 'marker:m2 length:2' } })).text) as { text: string }
    t.equal(generated.text, 'm2.0 m2.1 ')
    const called = JSON.parse((await post({ kind: 'status', input: { bell: 3 } })).text) as { status: string, result: unknown }
    t.same(called.result, { read: { path: '/call/issue', input: { input: { bell: 3 }, results: {} } } })
  })

  t.test('each refusal has its own code and status, and states not_run', async t => {
    const cases = [
      { name: 'malformed JSON', response: await post('{"kind":'), status: 400, code: 'malformed_json' },
      { name: 'no kind', response: await post({ input: 1 }), status: 400, code: 'invalid_request' },
      { name: 'unknown kind', response: await post({ kind: 'toString' }), status: 404, code: 'unknown_kind' },
      { name: 'wrong token', response: await post({ kind: 'tag' }, { authorization: 'Bearer wrong' }), status: 401, code: 'unauthorized' },
      { name: 'no id for a call that runs at most once', response: await post({ kind: 'issue' }), status: 400, code: 'request_id_required' },
      { name: 'an id that is no UUIDv7', response: await post({ kind: 'issue' }, { 'request-id': 'x' }), status: 400, code: 'request_id_invalid' },
      { name: 'an oversized body', response: await post({ kind: 'tag', input: 'x'.repeat(1024 * 1024) }), status: 413, code: 'body_too_large' },
      { name: 'an oversized body of unknown length', response: await post('"' + 'x'.repeat(1024 * 1024), { 'transfer-encoding': 'chunked' }), status: 413, code: 'body_too_large' },
      { name: 'a body that stops halfway', response: await post('{', { 'content-length': '10' }), status: 408, code: 'body_timeout' }
    ]
    for (const { name, response, status, code } of cases) {
      t.equal(response.status, status, name)
      t.match(getError(response.text), { code, ran: 'not_run' }, name)
    }
  })

  // A starting host that answered 401 instead would make a rejoining caller give up its request.
  t.test('a host that has not loaded its contracts responds with host_not_ready', async t => {
    host.unreadyReasons = ['contracts are not loaded']
    t.match(getError((await post({ kind: 'tag', input: 1 })).text), { code: 'host_not_ready', ran: 'not_run' })
    t.match(getError((await post({ kind: 'tag', input: 1 }, { 'request-id': 'early' })).text), { code: 'host_not_ready', ran: 'unknown' })
    host.unreadyReasons = []
  })

  t.test('a request id of another account is not found', async t => {
    await post({ kind: 'tag', input: 1 }, { 'request-id': 'mine' })
    t.equal((await host.send('GET', '/v1/requests/mine')).status, 200)
    for (const method of ['GET', 'DELETE']) {
      const response = await host.send(method, '/v1/requests/mine', undefined, { authorization: 'Bearer token-quay' })
      t.equal(response.status, 404, method)
    }
  })

  t.test('a second request with the same id joins the first, unless its body differs', async t => {
    const before = fleet.stagePoolMembers[0].countCalls('/v1/encode')
    const first = await post({ kind: 'tag', input: 'a' }, { 'request-id': 'again' })
    const second = await post({ kind: 'tag', input: 'a' }, { 'request-id': 'again' })
    t.equal(second.text, first.text)
    t.equal(fleet.stagePoolMembers[0].countCalls('/v1/encode'), before + 1, 'ran once')
    const other = await post({ kind: 'tag', input: 'b' }, { 'request-id': 'again' })
    t.equal(other.status, 409)
    t.equal(getError(other.text).code, 'request_id_reused')
  })

  t.test('a rejoining caller gets the tokens after its Last-Event-ID', async t => {
    const body = { kind: 'short', input: { text: 'marker:m3 length:4' }, stream: true }
    await post(body, { 'request-id': 'rest' })
    const rest = await post(body, { 'request-id': 'rest', 'last-event-id': '1:3' })
    t.match(rest.text, /^event: tokens\nid: 1:4\ndata: \{"tokens":\["m3\.3 "\]\}\n\nevent: done/)
  })

  t.test('a connection can be reused after a streamed response', async t => {
    const client = new Client(host.origin)
    let connections = 0
    client.on('connect', () => connections++)
    t.teardown(async () => await client.close())
    for (const stream of [true, false, true]) {
      const headers = { authorization: 'Bearer token-pier' }
      const response = await client.request({ method: 'POST', path: '/v1/requests', headers, body: JSON.stringify({ kind: 'short', input: { text: 'marker:é length:3' }, stream }) })
      const text = await response.body.text()
      t.match(text, stream ? /event: done\ndata: .*\n\n$/ : /"status":"completed"/)
    }
    t.equal(connections, 1)
  })

  t.test('the status of a running request and the result of a finished one can be read by id', async t => {
    fleet.engines[0].tokenDelayMs = 20
    const running = post({ kind: 'short', input: { text: 'marker:st length:40' } }, { 'request-id': 'state' })
    await waitUntil(() => fleet.engines[0].calls.some(call => call.body.stream_id?.toString().includes('/state/')))
    t.match(JSON.parse((await host.send('GET', '/v1/requests/state')).text), { requestId: 'state', status: 'running', state: /running|streaming/ })
    const response = await running
    fleet.engines[0].tokenDelayMs = 0
    t.same(JSON.parse((await host.send('GET', '/v1/requests/state')).text), JSON.parse(response.text))
    t.equal((await host.send('GET', '/v1/requests/never')).status, 404)
  })

  t.test('route, health, readiness, metrics and administration', async t => {
    t.match(JSON.parse((await host.send('GET', '/v1/route')).text), { addresses: [{ failureDomain: 'zone-host-0' }], lifetimeMs: 5000 })
    for (const path of ['/healthz', '/readyz', '/metrics']) t.equal((await host.send('GET', path, undefined, { authorization: '' })).status, 200, path)
    t.equal((await host.send('GET', '/admin/v1/hosts')).status, 401, 'an account token is no operator token')
    const admin = await host.send('PUT', '/admin/v1/contracts/a', { a: 1 }, { authorization: 'Bearer operator-token' })
    const lines = await host.send('GET', '/admin/v1/contracts/watch', undefined, { authorization: 'Bearer operator-token' })
    t.equal(lines.text, '{"revision":1}\n{"revision":2}\n')
    t.same(JSON.parse(admin.text), { path: '/admin/v1/contracts/a', body: { a: 1 } })
  })
})
