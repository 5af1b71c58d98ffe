import t from 'tap'
import type { ServerResponse } from 'node:http'
import type { Test } from 'tap'
import { createAnswerMemory } from '../../../../playground/fakes/createAnswerMemory.js'
import { FixedStageRouter } from '../../../../playground/fakes/fixedStageRouter.js'
import { silentLogger } from '../../../../playground/fakes/silentLogger.js'
import { ScriptedUpstream } from '../../../../playground/fakes/scriptedUpstream.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import { systemClock } from '../../../shared/systemClock.js'
import { UpstreamSet } from '../upstreamSet.js'

async function openSet (t: Test, options = {}) {
  const engine = await new ScriptedUpstream().start()
  const router = new FixedStageRouter()
  const leavingIds: string[] = []
  const set = new UpstreamSet({ answerMemory: createAnswerMemory(), router, clock: systemClock, random: () => 0, logger: silentLogger, isEnginePool: () => true, onLeaving: id => leavingIds.push(id), probeIntervalMs: 20, ...options })
  set.applyUpstreams([{ id: 'e', address: engine.address, pool: 'runners', failureDomain: 'a', state: 'live' }])
  t.teardown(async () => {
    await set.stop()
    engine.stop()
  })
  return { engine, router, set, leavingIds }
}
const openTokens = (set: UpstreamSet, prompt: string) => {
  const tokens: string[] = []
  const ended = new Promise<string>(resolve => {
    set.findEngine('e')!.openStream({ streamId: 's/1', model: 'm', prompt, maxTokens: 9, priority: 1 }, {
      onTokens: literals => tokens.push(...literals),
      onEnd: () => resolve('ended'),
      onError: error => resolve(`${error.code} ${error.ran}`)
    })
  })
  return { tokens, ended }
}

t.test('probes pass load reports, the leaving state, cache events and gaps in their sequence to the router', async t => {
  const { engine, router, set, leavingIds } = await openSet(t)
  const events = [{ seq: 1, type: 'stored', prefixHash: 'aa' }, { seq: 3, type: 'evicted', prefixHash: 'bb' }]
  engine.onCall = (call, response) => {
    if (!call.path.startsWith('/cache')) return false
    const after = Number(call.path.split('=')[1])
    response.end(JSON.stringify({ events: events.filter(event => event.seq > after), latest: 4 }))
    return true
  }
  set.start()
  await waitUntil(() => router.cacheEvents.length >= 4)
  t.ok(router.reportedUpstreams.has('e'))
  t.same(router.cacheEvents, ['e stored aa', 'e gap ', 'e evicted bb', 'e gap '])
  engine.state = 'leaving'
  await waitUntil(() => leavingIds.length > 0)
  t.equal(leavingIds[0], 'e')
  t.ok(router.leavingUpstreams.has('e'))
})

t.test('a call that an engine never responds to is retried on a new connection with the same stream id', async t => {
  const { engine, set } = await openSet(t, { streamSilenceMs: 100 })
  let calls = 0
  engine.onCall = call => call.path === '/v1/completions' && ++calls === 1
  const { tokens, ended } = openTokens(set, 'marker:x length:3')
  t.equal(await ended, 'ended')
  t.same(tokens, ['"x.0 "', '"x.1 "', '"x.2 "'])
  t.same(engine.calls.filter(call => call.path === '/v1/completions').map(call => call.body.stream_id), ['s/1', 's/1'])
})

t.test('a stream that stays silent on every connection fails with an unknown outcome', async t => {
  const { engine, set } = await openSet(t, { streamSilenceMs: 40 })
  engine.onCall = () => true
  t.equal(await openTokens(set, 'x').ended, 'upstream_silent unknown')
})

t.test('a refused connection means not_run unless the call was sent on an earlier connection', async t => {
  const { engine, set } = await openSet(t)
  engine.onCall = (_, response) => {
    engine.stop()
    response.destroy()
    return true
  }
  t.match(await openTokens(set, 'x').ended, / unknown$/)
  t.equal(await openTokens(set, 'x').ended, 'upstream_refused not_run')
})

t.test('calls beyond the connection limit are refused before they are sent', async t => {
  const { engine, set } = await openSet(t, { maxConnections: 1 })
  engine.tokenDelayMs = 30
  const first = openTokens(set, 'length:3')
  t.equal(await openTokens(set, 'x').ended, 'upstream_busy not_run')
  t.equal(await first.ended, 'ended')
})

t.test('guards against unfinished lines of streams that hold more than the memory for answers', async t => {
  const { engine, set } = await openSet(t, { answerMemory: createAnswerMemory(100_000) })
  engine.onCall = (call, response) => {
    if (call.path !== '/v1/completions') return false
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write(`data: ${'x'.repeat(60_000)}`)
    return true
  }
  const outcomes: string[] = []
  for (const prompt of ['a', 'b']) void openTokens(set, prompt).ended.then(outcome => { outcomes.push(outcome) })
  await waitUntil(() => outcomes.length > 0)
  t.same(outcomes, ['upstream_failed unknown'])
})

t.test('guards against sound streams that evict each other from the memory for answers', async t => {
  const { engine, set } = await openSet(t, { answerMemory: createAnswerMemory(100_000) })
  const responses: ServerResponse[] = []
  engine.onCall = (call, response) => {
    if (call.path !== '/v1/completions') return false
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write(`data: {"o":0,"t":"${'x'.repeat(60_000)}"}\n\n`)
    responses.push(response)
    return true
  }
  const outcomes: string[] = []
  for (const prompt of ['a', 'b', 'c']) void openTokens(set, prompt).ended.then(outcome => { outcomes.push(outcome) })
  await waitUntil(() => responses.length === 3)
  for (const response of responses) response.end('data: {"done":true,"count":1}\n\n')
  await waitUntil(() => outcomes.length === 3)
  t.same(outcomes, ['ended', 'ended', 'ended'])
})
