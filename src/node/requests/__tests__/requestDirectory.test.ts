import { setTimeout as waitTime } from 'node:timers/promises'
import t from 'tap'
import type { Test } from 'tap'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import { RequestDirectory } from '../requestDirectory.js'

async function openFleet (t: Test, options = {}) {
  const fleet = await new RequestTestFleet({ hosts: 3, ...options }).start()
  t.teardown(async () => await fleet.stop())
  const post = async (index: number, body: unknown, headers: Readonly<Record<string, string>> = {}, onText?: (text: string) => boolean) =>
    await fleet.hosts[index]!.send('POST', '/v1/requests', body, headers, onText)
  return { fleet, post }
}
const listTokens = (text: string): readonly string[] => {
  // A restart event discards all tokens before it.
  const tail = text.slice(text.lastIndexOf('event: restart') + 1)
  return [...tail.matchAll(/data: (\{"tokens".*\})/g)].flatMap(match => (JSON.parse(match[1]!) as { tokens: string[] }).tokens)
}
const listExpectedTokens = (marker: string, from: number, to: number): readonly string[] => Array.from({ length: to - from }, (_, i) => `${marker}.${from + i} `)

t.test('the directory accepts one owner, its updates, and takeovers from the current owner only', async t => {
  const directory = new RequestDirectory()
  const identity = { account: 'pier', requestId: 'r', bodyHash: 'h' }
  t.ok(directory.register({ identity, ownerId: 'a', epoch: 1, finished: false }, 0).accepted)
  t.match(directory.register({ identity, ownerId: 'b', epoch: 1, finished: false }, 0), { accepted: false, ownerId: 'a' })
  const hint = { upstreamId: 'u', streamId: 's', generation: 1 }
  t.ok(directory.register({ identity, ownerId: 'a', epoch: 1, hint, finished: false }, 0).accepted)
  t.match(directory.register({ identity, ownerId: 'b', epoch: 2, finished: false, takeoverFrom: 'a' }, 0), { accepted: true, hint })
  t.match(directory.register({ identity, ownerId: 'c', epoch: 2, finished: false, takeoverFrom: 'a' }, 0), { accepted: false, ownerId: 'b' }, 'the second of two takeovers loses')
  t.match(directory.register({ identity, ownerId: 'a', epoch: 1, finished: false }, 0), { accepted: false, epoch: 2 }, 'a paused owner is told of the newer epoch')
  t.equal(directory.find('quay', 'r').ownerId, '', 'another account finds nothing')
})

t.test('submitting the same id at another host joins the running request and returns the whole answer', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 5
  const body = { kind: 'short', input: { text: 'marker:j length:30' }, stream: true }
  const first = post(0, body, { 'request-id': 'joined' })
  await waitTime(40)
  const answers = await Promise.all([first, post(1, body, { 'request-id': 'joined' }), fleet.hosts[2]!.send('GET', '/v1/requests/joined', undefined, { accept: 'text/event-stream' })])
  for (const answer of answers) t.same(listTokens(answer.text), listExpectedTokens('j', 0, 30))
  t.equal(fleet.engines[0].countCalls('/v1/completions'), 1)
  const foreign = await fleet.hosts[1]!.send('GET', '/v1/requests/joined', undefined, { authorization: 'Bearer token-quay' })
  t.equal(foreign.status, 404)
  const reused = await post(2, { ...body, input: {} }, { 'request-id': 'joined' })
  t.equal(reused.status, 409)
})

t.test('a request finished by another host reads as completed, and a status query does not keep an abandoned request running', async t => {
  const { fleet, post } = await openFleet(t, { abandonGraceMs: 20 })
  const answer = await post(0, { kind: 'short', input: { text: 'marker:p length:3' } }, { 'request-id': 'past' })
  t.equal((await fleet.hosts[1]!.send('GET', '/v1/requests/past')).text, answer.text)
  fleet.engines[0].tokenDelayMs = 20
  await post(0, { kind: 'short', input: { text: 'marker:q length:300' }, stream: true }, { 'request-id': 'left' }, text => !text.includes('tokens'))
  await fleet.hosts[1]!.send('GET', '/v1/requests/left')
  await waitUntil(() => fleet.hosts.every(host => host.requests.runningCount === 0))
  t.same(fleet.hosts.map(host => host.requests.runningCount), [0, 0, 0])
})

t.test('a request of a dead owner is taken over: its stream is resumed and the caller gets the rest', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 10
  const body = { kind: 'short', input: { text: 'marker:d length:40' }, stream: true }
  const first = await post(0, body, { 'request-id': 'dead' }, text => !text.includes('d.5 '))
  fleet.peers.dead.add('host-0')
  fleet.hosts[1]!.membership.setState('host-0', 'dead')
  const had = listTokens(first.text).length
  const rest = await post(1, body, { 'request-id': 'dead', 'last-event-id': `1:${had}` })
  t.same(listTokens(rest.text), listExpectedTokens('d', had, 40))
  t.equal(fleet.engines.reduce((sum, engine) => sum + engine.countCalls('/v1/completions'), 0), 1, 'the generation ran once')
})

t.test('a takeover starts a new generation when the stream died with the owner', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 10
  const body = { kind: 'query', input: { text: 'marker:g length:40' }, stream: true }
  await post(0, body, { 'request-id': 'gone' }, text => !text.includes('g.5 '))
  fleet.peers.dead.add('host-0')
  fleet.engines[0].stop()
  const rest = await post(1, body, { 'request-id': 'gone', 'last-event-id': '1:6' })
  t.match(rest.text, /event: restart/)
  t.same(listTokens(rest.text), listExpectedTokens('g', 0, 40))
})

t.test('a request of a silent owner is taken over, and the old owner stops its run once it responds again', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 10
  const body = { kind: 'short', input: { text: 'marker:f length:120' }, stream: true }
  const first = post(0, body, { 'request-id': 'frozen' })
  await waitUntil(() => fleet.engines[0].countCalls('/v1/completions') === 1)
  fleet.peers.frozen.add('host-0')
  const second = post(1, body, { 'request-id': 'frozen' })
  await waitUntil(() => fleet.engines[0].countCalls('/v1/streams/') === 1)
  fleet.peers.frozen.delete('host-0')
  await fleet.hosts[0]!.requests.registerAgain()
  for (const answer of await Promise.all([first, second])) t.same(listTokens(answer.text), listExpectedTokens('f', 0, 120), 'each caller gets the whole answer')
  t.equal(fleet.hosts[0]!.metrics.counts.get('lycheetrack_runs_superseded_total'), 1)
  t.equal(fleet.engines[0].calls.filter(call => call.method === 'DELETE').length, 0, 'the stream of the new owner is not cancelled')
})

t.test('the backup directory host answers when the primary does not, and owners register again after a membership change', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 10
  const body = { kind: 'short', input: { text: 'marker:b length:30' }, stream: true }
  const owner = fleet.hosts[0]!
  const first = post(0, body, { 'request-id': 'moved' })
  await waitUntil(() => fleet.engines[0].countCalls('/v1/completions') === 1)
  const directoryHosts = fleet.peers.calls.filter(call => call.endsWith('RegisterRequest')).map(call => call.split(' ')[0]!)
  t.ok(directoryHosts.length > 0)
  for (const hostId of new Set(directoryHosts)) {
    if (hostId === 'host-1') continue
    fleet.peers.dead.add(hostId)
    owner.membership.setState(hostId, 'dead')
  }
  fleet.peers.dead.delete('host-0')
  await waitTime(100)
  const second = await post(1, body, { 'request-id': 'moved' })
  t.same(listTokens(second.text), listExpectedTokens('b', 0, 30))
  t.same(listTokens((await first).text), listExpectedTokens('b', 0, 30))
})

t.test('a cancellation at any host reaches the owner', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 20
  const running = post(0, { kind: 'short', input: { text: 'length:100' } }, { 'request-id': 'cancelled' })
  await waitUntil(() => fleet.engines[0].countCalls('/v1/completions') === 1)
  t.equal((await fleet.hosts[1]!.send('DELETE', '/v1/requests/cancelled', undefined, { authorization: 'Bearer token-quay' })).status, 404)
  t.equal((await fleet.hosts[1]!.send('DELETE', '/v1/requests/cancelled')).status, 200)
  t.match((await running).text, /request_cancelled/)
})

t.test('a refused submission joins the request when it runs on another host', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.engines[0].tokenDelayMs = 5
  for (const host of fleet.hosts.slice(1)) host.admission.decision = { admitted: false, reason: 'limit_reached', retryAfterMs: 100 }
  const body = { kind: 'short', input: { text: 'marker:l length:20' }, stream: true }
  const first = post(0, body, { 'request-id': 'limited' })
  await waitUntil(() => fleet.engines[0].countCalls('/v1/completions') === 1)
  t.same(listTokens((await post(1, body, { 'request-id': 'limited' })).text), listExpectedTokens('l', 0, 20))
  const refused = await post(2, body, { 'request-id': 'other' })
  t.equal(refused.status, 429)
  t.match(refused.text, /"ran":"not_run"/)
  await first
})
