import t from 'tap'
import type { Test } from 'tap'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

async function openFleet (t: Test, options = {}) {
  const fleet = await new RequestTestFleet(options).start()
  t.teardown(async () => await fleet.stop())
  const host = fleet.hosts[0]!
  const post = async (body: unknown, headers = {}) => {
    const answer = await host.send('POST', '/v1/requests', body, headers)
    return { status: answer.status, text: answer.text, value: JSON.parse(answer.text.startsWith('{') ? answer.text : '{}') as { text?: string, result?: Record<string, unknown>, error?: { code: string, ran: string } } }
  }
  return { fleet, host, post }
}

t.test('responses swapped between two calls are matched by their call ids', async t => {
  const { fleet, post } = await openFleet(t)
  const waiting: Array<{ readonly body: Readonly<Record<string, unknown>>, readonly send: (body: unknown) => void }> = []
  fleet.stagePoolMembers[0].onCall = (call, response) => {
    waiting.push({ body: call.body, send: body => response.end(JSON.stringify({ call_id: (body as { call_id: string }).call_id, output: (body as { input: { input: unknown } }).input.input })) })
    if (waiting.length === 2) {
      waiting[0]!.send(waiting[1]!.body)
      waiting[1]!.send(waiting[0]!.body)
    }
    return true
  }
  const answers = await Promise.all(['one', 'two'].map(async input => await post({ kind: 'tag', input })))
  t.same(answers.map(answer => answer.value.result), [{ encode: 'one' }, { encode: 'two' }])
})

t.test('a response with an unknown call id is dropped and counted', async t => {
  const { fleet, host, post } = await openFleet(t)
  fleet.stagePoolMembers[0].onCall = (_, response) => {
    response.end(JSON.stringify({ call_id: 'quay/foreign/encode/1', output: 'foreign' }))
    return true
  }
  const answer = await post({ kind: 'tag', input: 1 })
  t.match(JSON.stringify(answer.value.result), /"input":1/, 'the second pool member responds')
  t.equal(host.metrics.counts.get('lycheetrack_answers_dropped_total'), 1)
})

t.test('the late response of the slower of two hedged attempts is ignored', async t => {
  const { fleet, host, post } = await openFleet(t)
  host.router.hedgeAfterMs = 20
  let late: (() => void) | undefined
  fleet.stagePoolMembers[0].onCall = (call, response) => {
    late = () => response.end(JSON.stringify({ call_id: call.body.call_id, output: 'late' }))
    return true
  }
  const answer = await post({ kind: 'tag', input: 1 })
  late?.()
  t.notMatch(answer.text, /late/)
  t.same(host.router.endedAttempts.map(end => end.outcome).sort(), ['cancelled', 'completed'])
})

t.test('a stage whose connection is refused goes to another upstream without using the retry budget', async t => {
  const { fleet, host, post } = await openFleet(t)
  host.router.isRetryAdmitted = false
  fleet.stagePoolMembers[0].stop()
  const answer = await post({ kind: 'tag', input: 1 })
  t.equal(answer.status, 200)
  t.same(host.router.endedAttempts.map(end => end.outcome), ['refused', 'completed'])
})

t.test('a lost response is retried within the retry budget and is a typed error without it', async t => {
  const { fleet, host, post } = await openFleet(t)
  fleet.stagePoolMembers[0].onCall = (_, response) => { response.destroy(); return true }
  t.equal((await post({ kind: 'tag', input: 1 })).status, 200)
  host.router.isRetryAdmitted = false
  const refused = await post({ kind: 'tag', input: 2 })
  t.match(refused.value.error, { code: 'upstream_failed', ran: 'unknown' })
})

t.test('a call over a silent connection is retried on a new connection to the only remaining upstream', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.stagePoolMembers[1].stop()
  let calls = 0
  fleet.stagePoolMembers[0].onCall = () => ++calls === 3
  for (const input of [1, 2]) await post({ kind: 'tag', input })
  const answer = await post({ kind: 'tag', input: 3, deadlineMs: 4000 })
  t.match(JSON.stringify(answer.value.result), /"input":3/)
  t.equal(calls, 4)
})

t.test('an engine stream that goes silent is resumed on a new connection without lost or repeated tokens', async t => {
  const { fleet, post } = await openFleet(t, { streamSilenceMs: 600 })
  fleet.engines[0].tokenDelayMs = 5
  let isSilent = false
  fleet.engines[0].onCall = (call, response) => {
    if (call.path !== '/v1/completions' || isSilent) return false
    // The connection carries a few tokens and then nothing, while the engine continues the stream.
    isSilent = true
    const write = response.write.bind(response)
    let writes = 0
    response.write = ((chunk: string) => ++writes > 3 ? true : write(chunk)) as typeof response.write
    response.end = (() => response) as typeof response.end
    return false
  }
  const answer = await post({ kind: 'short', input: { text: 'marker:s length:20' } })
  t.equal(answer.value.text, Array.from({ length: 20 }, (_, i) => `s.${i} `).join(''))
  t.equal(fleet.engines[0].countCalls('/v1/streams/'), 1)
  t.equal(fleet.engines[1].calls.length, 0, 'no second run')
})

t.test('duplicate and out-of-order tokens are put in order', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].onCall = (_, response) => {
    const lines = [0, 1, 1, 3, 2, 0].map(o => `data: {"o":${o},"t":"t${o} \\u00e9"}\n\n`)
    response.end(lines.join('') + 'data: {"done":true,"count":4}\n\n')
    return true
  }
  const answer = await post({ kind: 'short', input: {} })
  t.equal(answer.value.text, 't0 ét1 ét2 ét3 é')
})

t.test('an engine that dies during a stream leads to a new generation, announced by a restart event', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].onCall = (call, response) => {
    if (call.path === '/v1/completions') {
      response.write('data: {"o":0,"t":"old "}\n\n')
      setTimeout(() => fleet.engines[0].stop(), 30)
    }
    return true
  }
  const answer = await post({ kind: 'short', input: { text: 'marker:n length:2' }, stream: true })
  t.match(answer.text, /id: 1:1\ndata: \{"tokens":\["old "\]\}/)
  t.match(answer.text, /event: restart\ndata: \{"generation":2\}\n\n(.|\n)*id: 2:2\n(.|\n)*"tokenCount":2/)
})

t.test('the deadline ends the request with a typed error and cancels the stream on the engine', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 50
  const answer = await post({ kind: 'short', input: { text: 'length:100' }, deadlineMs: 400 })
  t.equal(answer.status, 504)
  t.match(answer.value.error, { code: 'deadline_exceeded', ran: 'unknown' })
  await waitUntil(() => fleet.engines[0].calls.some(call => call.method === 'DELETE'))
  t.equal(fleet.engines[0].calls.filter(call => call.method === 'DELETE').length, 1)
})

t.test('an abandoned request is cancelled on the engine and runs again when its caller returns', async t => {
  const { fleet, host, post } = await openFleet(t, { abandonGraceMs: 20 })
  fleet.engines[0].tokenDelayMs = 20
  const body = { kind: 'short', input: { text: 'marker:w length:100' }, stream: true }
  await host.send('POST', '/v1/requests', body, { 'request-id': 'back' }, text => !text.includes('tokens'))
  await waitUntil(() => host.requests.runningCount === 0 && fleet.engines[0].calls.some(call => call.method === 'DELETE'))
  t.equal(fleet.engines[0].calls.filter(call => call.method === 'DELETE').length, 1)
  t.equal(host.requests.runningCount, 0)
  fleet.engines[0].tokenDelayMs = 0
  const answer = await post(body, { 'request-id': 'back', 'last-event-id': '1:1' })
  t.match(answer.text, /event: restart\ndata: \{"generation":2\}\n\n/)
  t.match(answer.text, /id: 2:100\n(.|\n)*"tokenCount":100/)
  t.equal(new Set(fleet.engines[0].calls.map(call => call.body.stream_id)).size, 3, 'two stream ids and the cancellation')
})

t.test('an upstream that answers 503 and marks itself as leaving gets no further work', async t => {
  const { fleet, host, post } = await openFleet(t)
  fleet.stagePoolMembers[0].state = 'leaving'
  fleet.stagePoolMembers[0].onCall = (_, response) => { response.writeHead(503).end(); return true }
  t.equal((await post({ kind: 'tag', input: 1 })).status, 200)
  t.equal((await post({ kind: 'tag', input: 2 })).status, 200)
  t.equal(fleet.stagePoolMembers[0].countCalls('/v1/encode'), 1)
  t.ok(host.router.leavingUpstreams.has('pool-0'))
})

t.test('the error reports not_run when nothing was sent', async t => {
  const { fleet, post } = await openFleet(t)
  for (const member of fleet.stagePoolMembers) member.stop()
  const answer = await post({ kind: 'query', input: { text: 'x' } })
  t.equal(answer.status, 503)
  t.match(answer.value.error, { code: 'no_upstream_available', ran: 'not_run' })
})

t.test('guards against requests that wait for upstreams that are paused', async t => {
  const { host, post } = await openFleet(t)
  host.router.routeCallsToRefuse = 1000
  host.router.pauseMs = 700
  for (const kind of ['query', 'tag']) {
    const answer = await post({ kind, input: { text: 'x' } })
    t.equal(answer.status, 503, kind)
    t.match(answer.value.error, { code: 'no_upstream_available', ran: 'not_run', retryAfterMs: 700 })
  }
})

t.test('a generation without free capacity waits instead of being refused', async t => {
  const { host, post } = await openFleet(t)
  host.router.routeCallsToRefuse = 4
  const answer = await post({ kind: 'short', input: { text: 'marker:w length:3' } })
  t.equal(answer.value.text, 'w.0 w.1 w.2 ')
})

t.test('a refused hedge is requested again while the attempt yields no token', async t => {
  const { fleet, host, post } = await openFleet(t)
  host.router.hedgeAfterMs = 20
  host.router.hedgesToRefuse = 2
  host.router.isRetryAdmitted = false
  fleet.engines[0].onCall = call => call.path === '/v1/completions'
  const answer = await post({ kind: 'short', input: { text: 'marker:h length:3' } })
  t.equal(answer.value.text, 'h.0 h.1 h.2 ')
  t.equal(fleet.engines[1].countCalls('/v1/completions'), 1)
})

t.test('progress of a slow stream is reported often enough that the router does not treat it as silent', async t => {
  const { fleet, host, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 40
  await post({ kind: 'short', input: { text: 'marker:p length:20' } })
  t.ok(host.router.progressCount >= 5, `${host.router.progressCount} reports in 800 ms`)
})

t.test('a stream of an engine that died runs on another engine even with an exhausted retry budget', async t => {
  const { fleet, host, post } = await openFleet(t)
  host.router.isRetryAdmitted = false
  fleet.engines[0].onCall = (call, response) => {
    if (call.path !== '/v1/completions') return false
    response.write('data: {"o":0,"t":"old "}\n\n')
    setTimeout(() => fleet.engines[0].stop(), 30)
    return true
  }
  const answer = await post({ kind: 'short', input: { text: 'marker:n length:2' } })
  t.equal(answer.value.text, 'n.0 n.1 ')
})
