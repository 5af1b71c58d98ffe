import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { CrashingEngines } from '../../../../playground/platform/crashingEngines.js'
import { hasPromptPart } from '../../../../playground/platform/hasPromptPart.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { StandInRequest } from '../../../../playground/platform/standInRequest.js'

/**
 * Bounds that the operator states: crashes until a part is known, time until the hosts have agreed, requests after it.
 */
const knownAfterCrashes = 5
const stableWindowMs = 3000
const maxArrivals = 3
const hostCount = 5

t.test('crashing prompts', { timeout: 60_000 }, async t => {
  const first = await new GatewayTestHarness().start()
  const hosts = [first]
  for (let i = 2; i <= hostCount; i++) hosts.push(await new GatewayTestHarness(`host-${i}`, first.store).start())
  const engines = await new CrashingEngines({
    fleet: first,
    service: 'llm',
    isCrashing: request => hasPromptPart(request, 'bad'),
    prefillMs: 20,
    restartMs: 500
  }).start(6)
  t.teardown(async () => {
    engines.stop()
    for (const host of [...hosts].reverse()) await host.stop()
  })
  const version = first.writeConfiguration({
    services: [{ name: 'llm', connectionLimit: 400, engine: { slots: 8, kvCacheTokens: 100_000 } }],
    routes: [{ name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm', maxAttempts: 1 }],
    tenants: [{ name: 'pier', apiKeys: ['key-1'] }]
  })
  for (const host of hosts) {
    await host.waitForLogLine('configuration in force', `"version":${version}`)
    await host.waitForLogLine('upstream added', 'i-engine-6')
  }
  let sentCount = 0
  const send = async (host: GatewayTestHarness, sharedPart: string): ReturnType<GatewayTestHarness['send']> => {
    const promptParts = `common:40,${sharedPart}:80,own-${++sentCount}:30`
    return await host.send('/ask/x', {
      headers: {
        authorization: 'Token key-1',
        'x-model': 'm',
        'x-token-counts': '150,10',
        'x-prompt-prefix': promptParts
      }
    })
  }

  await t.test('guards against a prompt part that ends engine after engine, one at each host', async t => {
    for (const host of hosts) t.match(await send(host, 'sound'), { status: 200 })
    // The requests come at hosts in turn, so that no host sees more than one of the first crashes.
    for (let i = 0; i < 3 * hostCount && engines.crashes < knownAfterCrashes; i++) {
      await Promise.all([
        send(hosts[i % hostCount]!, 'bad').catch(() => {}),
        send(hosts[(i + 1) % hostCount]!, `session-${i}`).catch(() => {})
      ])
      await delay(100)
    }
    await delay(stableWindowMs)
    const arrivalsBefore = engines.arrivals
    const crashesBefore = engines.crashes
    const answers: Array<Awaited<ReturnType<typeof send>> | undefined> = []
    for (const host of [...hosts, ...hosts]) {
      const [answer, sound] = await Promise.all([
        send(host, 'bad').catch(() => undefined),
        send(host, `session-${sentCount}`).catch(() => undefined)
      ])
      answers.push(answer)
      t.match(sound, { status: 200 }, 'a sound request of the same account with the same first part is served')
      await delay(50)
    }
    const refused = answers.filter(answer => answer?.status === 503 && answer.body.includes('not_run'))
    const arrivals = engines.arrivals - arrivalsBefore
    t.equal(refused.length, answers.length - arrivals, 'the answers to all others state that they were not run')
    t.ok(arrivals <= maxArrivals, `requests that reached engines: ${arrivals}`)
    t.ok(engines.crashes - crashesBefore <= maxArrivals, `engines that ended: ${engines.crashes - crashesBefore}`)
  })
  await t.test('a host that has just started knows the part', async t => {
    const host = await new GatewayTestHarness('host-new', first.store).start()
    hosts.push(host)
    await host.waitForLogLine('configuration in force', `"version":${version}`)
    const arrivalsBefore = engines.arrivals
    t.match(await send(host, 'bad'), { status: 503, body: /prompt_refused/, headers: { 'retry-after': /^[\d.]+$/ } })
    t.match(await send(host, 'session-new'), { status: 200 })
    t.equal(engines.arrivals, arrivalsBefore)
  })

  await t.test('the part stays refused while the store is away', async t => {
    first.store.fault = 'busy'
    first.store.closeConnections()
    for (const host of hosts) await host.waitForLogLine('store lost')
    const arrivalsBefore = engines.arrivals
    for (const host of hosts) t.match(await send(host, 'bad'), { status: 503, body: /not_run/ })
    for (const host of hosts) t.match(await send(host, 'session-away'), { status: 200 })
    t.equal(engines.arrivals, arrivalsBefore)
    first.store.fault = 'none'
    const isRegained = (line: string): boolean => line.includes('"message":"store regained"')
    for (const host of hosts) await waitUntil(() => host.logLines.filter(isRegained).length >= 2)
  })

  await t.test('guards against refusing sound parts for long when many engines end for another reason', async t => {
    const sendFresh = async (i: number): Promise<unknown> => {
      return await send(hosts[i % hosts.length]!, 'fresh').catch(() => undefined)
    }
    const pending = Array.from({ length: 4 * hostCount }, async (_, i) => await sendFresh(i))
    const hasFresh = ({ headers }: StandInRequest): boolean => headers['x-prompt-prefix']?.includes('fresh') === true
    await waitUntil(() => engines.engines.some(engine => engine.requests.some(hasFresh)))
    for (const engine of [...engines.engines]) engines.kill(engine)
    await Promise.all(pending)
    for (let waitedMs = 0; waitedMs < stableWindowMs; waitedMs += 200) {
      await sendFresh(waitedMs / 200)
      await delay(200)
    }
    for (const host of hosts) {
      t.match(await send(host, 'fresh'), { status: 200 })
      t.match(await send(host, 'sound'), { status: 200 })
    }
  })
})
