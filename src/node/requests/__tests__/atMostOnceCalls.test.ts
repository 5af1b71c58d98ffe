import { setTimeout as waitTime } from 'node:timers/promises'
import t from 'tap'
import type { Test } from 'tap'
import { v7 as buildUuid } from 'uuid'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

async function openFleet (t: Test, options = {}) {
  const fleet = await new RequestTestFleet({ hosts: 2, ...options }).start()
  t.teardown(async () => await fleet.stop())
  const requestId = buildUuid()
  const post = async (index = 0, input: unknown = { bell: 1 }) => {
    const answer = await fleet.hosts[index]!.send('POST', '/v1/requests', { kind: 'issue', input }, { 'request-id': requestId })
    return { ...JSON.parse(answer.text) as { result?: unknown, error?: { code: string, ran: string } }, status: answer.status }
  }
  let release = (): void => {}
  /** Delays the responses of the first service until the returned function is called. */
  const delayResponses = (): () => void => {
    const released = new Promise<void>(resolve => { release = resolve })
    fleet.services[0].onCall = async () => { await released; return false }
    return release
  }
  const countRuns = (): number => fleet.services.reduce((sum, service) => sum + service.countCalls('/call/'), 0)
  return { fleet, post, requestId, countRuns, delayResponses }
}

t.test('a call that was sent runs once, and a second submission gets the recorded outcome', async t => {
  const { fleet, post, requestId, countRuns } = await openFleet(t, {})
  const first = await post(0)
  t.equal(first.status, 200)
  fleet.peers.dead.add('host-0')
  fleet.hosts[1]!.membership.setState('host-0', 'dead')
  const second = await post(1)
  t.same(second.result, first.result)
  t.equal(countRuns(), 1)
  t.match(fleet.claims.outcomes.get(`pier/${requestId}`), { ran: 'ran', status: 200 })
})

t.test('no byte is sent when the claim is refused', async t => {
  const { fleet, post, countRuns } = await openFleet(t)
  fleet.claims.isUnavailable = true
  t.match(await post(), { status: 503, error: { code: 'key_value_unavailable', ran: 'not_run' } })
  t.equal(countRuns(), 0)
})

t.test('no byte is sent under a claim that is no longer fresh, and not_run is recorded', async t => {
  const { fleet, post, requestId, countRuns } = await openFleet(t)
  fleet.claims.isFresh = false
  t.match(await post(), { status: 503, error: { code: 'upstream_not_sent', ran: 'not_run' } })
  t.equal(countRuns(), 0)
  t.match(fleet.claims.outcomes.get(`pier/${requestId}`), { ran: 'not_run' })
})

t.test('a lost response is not retried: the outcome is unknown', async t => {
  const { fleet, post, requestId, countRuns } = await openFleet(t)
  fleet.services[0].onCall = (_, response) => { response.destroy(); return true }
  t.match(await post(), { status: 502, error: { ran: 'unknown' } })
  t.equal(countRuns(), 1)
  t.match(fleet.claims.outcomes.get(`pier/${requestId}`), { ran: 'unknown' })
})

t.test('a call whose response takes longer than its budget gets no second attempt', async t => {
  const { fleet, post, countRuns } = await openFleet(t)
  fleet.hosts[0]!.router.hedgeAfterMs = 10
  fleet.services[0].onCall = async () => { await waitTime(300); return false }
  t.equal((await post()).status, 200)
  t.equal(countRuns(), 1)
})

t.test('a call whose connection is refused is sent to another upstream', async t => {
  const { fleet, post } = await openFleet(t)
  fleet.services[0].stop()
  t.equal((await post()).status, 200)
  t.equal(fleet.services[1].countCalls('/call/'), 1)
})

t.test('a 503 counts as not_run only from an upstream that marks itself as leaving', async t => {
  for (const { state, ran } of [{ state: 'leaving', ran: 'not_run' }, { state: 'live', ran: 'unknown' }]) {
    const { fleet, post, countRuns } = await openFleet(t)
    fleet.services[0].state = state
    fleet.services[0].onCall = (_, response) => { response.writeHead(503).end(); return true }
    t.match((await post()).error, { ran }, state)
    t.equal(countRuns(), 1, 'a byte was sent, so no other upstream is tried')
  }
})

t.test('a second host waits for the outcome from the host that holds the claim', async t => {
  const { fleet, post, countRuns, delayResponses } = await openFleet(t)
  const releaseResponses = delayResponses()
  const first = post(0)
  await waitUntil(() => countRuns() === 1)
  const second = post(1)
  await waitUntil(() => fleet.hosts[1]!.requests.runningCount === 1)
  releaseResponses()
  const [one, two] = await Promise.all([first, second])
  t.same(two.result, one.result)
  t.equal(countRuns(), 1)
})

t.test('the outcome is unknown when the holder dies after it sent the call', async t => {
  const { fleet, post, requestId, countRuns, delayResponses } = await openFleet(t)
  const releaseResponses = delayResponses()
  const first = post(0)
  await waitUntil(() => countRuns() === 1)
  fleet.peers.dead.add('host-0')
  fleet.hosts[1]!.membership.setState('host-0', 'dead')
  t.match(await post(1), { status: 409, error: { code: 'outcome_unknown', ran: 'unknown' } })
  releaseResponses()
  await first
  t.equal(countRuns(), 1)
  t.match(fleet.claims.outcomes.get(`pier/${requestId}`), { ran: 'ran' }, 'the holder still records the outcome')
  t.equal((await post(1)).status, 200, 'later submissions get the recorded outcome')
})

t.test('a response after the deadline is recorded, although the caller got an unknown outcome', async t => {
  const { fleet, requestId, post, delayResponses } = await openFleet(t)
  const releaseResponses = delayResponses()
  const first = await fleet.hosts[0]!.send('POST', '/v1/requests', { kind: 'issue', input: { bell: 1 }, deadlineMs: 400 }, { 'request-id': requestId })
  t.equal(first.status, 504)
  t.match(JSON.parse(first.text), { error: { code: 'deadline_exceeded', ran: 'unknown' } })
  releaseResponses()
  await fleet.hosts[0]!.requests.waitIdle()
  t.match(fleet.claims.outcomes.get(`pier/${requestId}`), { ran: 'ran', status: 200 })
  t.equal((await post()).status, 200, 'a second submission gets the recorded outcome')
})

t.test('a call that may have been sent cannot be cancelled by its caller', async t => {
  const { fleet, requestId, countRuns, delayResponses } = await openFleet(t, { abandonGraceMs: 10 })
  const releaseResponses = delayResponses()
  const call = fleet.hosts[0]!.send('POST', '/v1/requests', { kind: 'issue', input: 1 }, { 'request-id': requestId })
  await waitUntil(() => countRuns() === 1)
  t.equal((await fleet.hosts[0]!.send('DELETE', `/v1/requests/${requestId}`)).status, 409)
  releaseResponses()
  t.equal((await call).status, 200)
})
