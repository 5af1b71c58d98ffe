import t from 'tap'
import { v7 as createRequestId } from 'uuid'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'

// Guards against losing a running request because the host where its caller rejoins admits no new requests.
t.test('a registered request is taken over although admission refuses new ones', async t => {
  const fleet = await new RequestTestFleet({ hosts: 3 }).start()
  t.teardown(() => fleet.stop())
  const [first, second] = fleet.hosts
  const body = { kind: 'short', input: { text: 'marker:m length:4' } }
  const started = await first!.send('POST', '/v1/requests', body, { 'request-id': 'again' })
  t.equal(started.status, 200)
  fleet.hostsById.set('host-0', { ...fleet.hostsById.get('host-0')!, state: 'dead' })
  second!.admission.decision = { admitted: false, reason: 'deadline_unreachable', retryAfterMs: 10 }
  const rejoined = await second!.send('POST', '/v1/requests', body, { 'request-id': 'again' })
  t.equal(rejoined.status, 200)
  t.match(JSON.parse(rejoined.text), { requestId: 'again', text: 'm.0 m.1 m.2 m.3 ' })
  const refused = await second!.send('POST', '/v1/requests', body, { 'request-id': 'new' })
  t.match(JSON.parse(refused.text), { error: { code: 'deadline_unreachable', ran: 'not_run' } })
})

// Guards against reporting not_run for a request that a frozen or overloaded host registers and runs after the refusal.
t.test('a refusal reports not_run only for a recent request id', async t => {
  const fleet = await new RequestTestFleet().start()
  t.teardown(() => fleet.stop())
  const host = fleet.hosts[0]!
  host.admission.decision = { admitted: false, reason: 'overloaded', retryAfterMs: 10 }
  const readRan = async (msecs: number): Promise<unknown> => {
    const answer = await host.send('POST', '/v1/requests', { kind: 'issue', input: {} }, { 'request-id': createRequestId({ msecs }) })
    return JSON.parse(answer.text).error.ran
  }
  t.equal(await readRan(Date.now() + 10_000), 'not_run')
  t.equal(await readRan(Date.now() - 5000), 'unknown')
})
