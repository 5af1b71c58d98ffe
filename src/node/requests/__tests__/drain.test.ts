import t from 'tap'
import { silentLogger } from '../../../../playground/fakes/silentLogger.js'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { HostRecord } from '../../../types/hostRecord.js'
import { chooseRouteHosts } from '../chooseRouteHosts.js'
import { createDrain } from '../createDrain.js'

const choose = (hosts: readonly HostRecord[]): readonly HostRecord[] => chooseRouteHosts(hosts, 'pier', 4)

t.test('a graceful shutdown finishes running requests, refuses new ones and hands finished answers to other hosts', async t => {
  const fleet = await new RequestTestFleet({ hosts: 3 }).start()
  t.teardown(async () => await fleet.stop())
  const host = fleet.hosts[0]!
  fleet.engines[0].tokenDelayMs = 10
  const post = async (index: number, id: string, text: string) =>
    await fleet.hosts[index]!.send('POST', '/v1/requests', { kind: 'short', input: { text } }, { 'request-id': id })
  const finished = await post(0, 'finished', 'marker:a length:2')
  let endLeaving = (): void => {}
  let leavingMs = 0
  const drain = createDrain({
    requests: host.requests,
    membership: host.membership,
    logger: silentLogger,
    reportLeaving: () => host.membership.setState('host-0', 'leaving'),
    chooseRouteHosts: choose,
    wait: async ms => {
      leavingMs = ms
      await new Promise<void>(resolve => { endLeaving = resolve })
    }
  })
  t.equal(drain.state, 'serving')
  const completion = drain.start()
  t.equal(drain.state, 'leaving')
  t.equal(leavingMs, 6000, 'the route lifetime and the margin of one second')
  const route = await fleet.hosts[1]!.send('GET', '/v1/route')
  t.notMatch(route.text, /host-0/, 'a leaving host is excluded from route answers')
  t.equal((await post(0, 'late', 'length:1')).status, 200, 'a leaving host still accepts requests')
  const running = post(0, 'running', 'marker:r length:100')
  await waitUntil(() => fleet.engines[0].countCalls('/v1/completions') === 3)
  endLeaving()
  await waitUntil(() => drain.state === 'draining')
  t.equal(drain.state, 'draining')
  const refused = await post(0, 'refused', 'length:1')
  t.equal(refused.status, 503)
  t.match(JSON.parse(refused.text), { error: { code: 'host_draining', ran: 'not_run', addresses: [{ address: /host-[12]/ }, { address: /host-[12]/ }] } })
  await completion
  t.equal(drain.state, 'stopped')
  t.match((await running).text, /r\.99 /, 'the running request was completed')
  fleet.peers.dead.add('host-0')
  host.membership.setState('host-0', 'dead')
  const calls = fleet.engines[0].countCalls('/v1/completions')
  for (const [id, text] of [['finished', 'marker:a length:2'], ['running', 'marker:r length:100']] as const) {
    const answer = await post(1, id, text)
    t.match(JSON.parse(answer.text), { requestId: id, status: 'completed' })
  }
  t.equal((await post(2, 'finished', 'marker:a length:2')).text, finished.text)
  t.equal(fleet.engines[0].countCalls('/v1/completions'), calls, 'no answer was generated again')
})

t.test('route answers contain live hosts in more than one failure domain', async t => {
  const create = (id: string, failureDomain: string, state: HostRecord['state'] = 'live'): HostRecord =>
    ({ id, failureDomain, state, address: id, peerAddress: id, incarnation: 1 })
  const hosts = [create('a1', 'a'), create('a2', 'a'), create('a3', 'a'), create('b1', 'b'), create('c1', 'c', 'leaving'), create('d1', 'd', 'suspect')]
  for (let seed = 0; seed < 50; seed++) {
    const chosen = chooseRouteHosts(hosts, `account-${seed}`, 2)
    t.same(chosen.map(host => host.failureDomain).sort(), ['a', 'b'])
  }
  const oneDomain = chooseRouteHosts(hosts.filter(host => host.id !== 'b1'), 'pier', 2)
  t.same(oneDomain.map(host => host.failureDomain).sort(), ['a', 'd'], 'a suspect host is preferred to a single failure domain')
})
