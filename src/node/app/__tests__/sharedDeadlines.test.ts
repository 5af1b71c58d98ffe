import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

const count = 16
const timeLeftMs = 600

t.test('requests whose deadlines pass in the same turn of the event loop', async t => {
  const fleet = await new GatewayTestHarness().start()
  const silent = await new UpstreamStandIn('i-silent', () => {}).start()
  t.teardown(async () => {
    await fleet.stop()
    silent.stop()
  })
  fleet.writeConfiguration({
    services: [{ name: 'silent', connectionLimit: 100 }],
    routes: [{ kind: 'unsafe', pathPrefix: '/r/', service: 'silent' }]
  })
  fleet.addUpstream(silent, 'silent')
  await fleet.waitForLogLine('upstream added')

  t.test('guards against answers that wait until earlier requests are cancelled at their upstream', async t => {
    const startMs = performance.now()
    const answers = Array.from({ length: count }, async () => {
      return await fleet.send('/r/x', { headers: { 'x-time-remaining': String(timeLeftMs) } })
    })
    await fleet.waitForRequests(silent, count)
    await delay(startMs + timeLeftMs - 100 - performance.now())
    while (performance.now() < startMs + timeLeftMs + 100);
    t.same((await Promise.all(answers)).map(({ status }) => status), Array.from({ length: count }, () => 504))
    const messages = fleet.logLines.map(line => (JSON.parse(line) as { message: string }).message)
    const ends = messages.filter(message => message === 'request timed out' || message === 'attempt ended')
    t.same(ends.slice(0, count), Array.from({ length: count }, () => 'request timed out'))
  })
})
