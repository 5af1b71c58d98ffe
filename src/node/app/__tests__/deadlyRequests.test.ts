import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { CrashingEngines } from '../../../../playground/platform/crashingEngines.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

/**
 * Bounds that the operator states: crashes until a request is known, time until the hosts agree, arrivals after it.
 */
const knownAfterCrashes = 3
const stableWindowMs = 3000
const maxArrivals = 3
/** Share of the sound requests that are served while trials end single upstreams. */
const minServedShare = 0.9
const hostCount = 4
const deadlyBody = 'deadly'

t.test('requests that crash upstreams', { timeout: 100_000 }, async t => {
  const first = await new GatewayTestHarness().start()
  const hosts = [first]
  for (let i = 2; i <= hostCount; i++) hosts.push(await new GatewayTestHarness(`host-${i}`, first.store).start())
  const isCrashing = ({ body }: { readonly body: string }): boolean => body.startsWith(deadlyBody)
  const options = { fleet: first, isCrashing, prefillMs: 20, restartMs: 500 }
  const shop = await new CrashingEngines({ ...options, service: 'shop' }).start(5)
  const llm = await new CrashingEngines({ ...options, service: 'llm', idPrefix: 'i-llm' }).start(5)
  t.teardown(async () => {
    for (const upstreams of [shop, llm]) upstreams.stop()
    for (const host of [...hosts].reverse()) await host.stop()
  })
  const version = first.writeConfiguration({
    services: [
      { name: 'shop', connectionLimit: 400 },
      { name: 'llm', connectionLimit: 400, engine: { slots: 8, kvCacheTokens: 100_000 } }
    ],
    routes: [
      { name: 'read', pathPrefix: '/read/', service: 'shop' },
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm', resumeStreams: true }
    ],
    tenants: [{ name: 'pier', apiKeys: ['key-1'] }]
  })
  for (const host of hosts) {
    await host.waitForLogLine('configuration in force', `"version":${version}`)
    await host.waitForLogLine('upstream added', 'i-llm-5')
  }
  const send = async (host: GatewayTestHarness, path: string, body: string): ReturnType<GatewayTestHarness['send']> => {
    const headers: Record<string, string> = { authorization: 'Token key-1' }
    if (path.startsWith('/ask/')) {
      headers['x-token-counts'] = '100,10'
      headers['x-prompt-prefix'] = `common:40,session:80,own-${body}:30`
    }
    return await host.send(path, { method: 'POST', headers, body })
  }
  let soundCount = 0
  /** Sends the deadly request and a sound one of the same caller to each host in turn; resolves to the answers. */
  const sendRounds = async (path: string, deadly: string, rounds: number) => {
    const answers: Array<Awaited<ReturnType<typeof send>> | undefined> = []
    const sound: Array<number | undefined> = []
    for (let i = 0; i < rounds; i++) {
      const [answer, other] = await Promise.all([
        send(hosts[i % hosts.length]!, path, deadly).catch(() => undefined),
        send(hosts[(i + 1) % hosts.length]!, path, `sound-${++soundCount}`).catch(() => undefined)
      ])
      answers.push(answer)
      sound.push(other?.status)
      await delay(100)
    }
    return { answers, soundShare: sound.filter(status => status === 200).length / sound.length }
  }

  for (const [path, upstreams] of [['/read/x', shop], ['/order/x', shop], ['/ask/x', llm]] as const) {
    await t.test(`guards against a request that crashes upstream after upstream: ${path}`, async t => {
      const deadly = `${deadlyBody} ${path}`
      const crashesBefore = upstreams.crashes
      for (let i = 0; i < 40 && upstreams.crashes - crashesBefore < knownAfterCrashes; i++) {
        await sendRounds(path, deadly, 1)
      }
      await delay(stableWindowMs)
      const arrivalsBefore = upstreams.arrivals
      const { answers, soundShare } = await sendRounds(path, deadly, 40)
      const arrivals = upstreams.arrivals - arrivalsBefore
      t.ok(arrivals <= maxArrivals, `arrivals: ${arrivals}`)
      t.ok(soundShare >= minServedShare, `sound requests of the same path and caller served: ${soundShare}`)
      const refused = answers.filter(answer => answer?.status === 503 && answer.body.includes('not_run'))
      t.ok(refused.length >= answers.length - arrivals, 'the answers to all others state that they were not run')
      t.match(refused.at(-1), { headers: { 'retry-after': /^[\d.]+$/ } })
    })
  }

  await t.test('a host that has just started knows the request', async t => {
    const host = await new GatewayTestHarness('host-new', first.store).start()
    hosts.push(host)
    await host.waitForLogLine('configuration in force', `"version":${version}`)
    const arrivalsBefore = shop.arrivals
    t.match(await send(host, '/order/x', `${deadlyBody} /order/x`), { status: 503, body: /not_run/ })
    t.match(await send(host, '/order/x', 'sound'), { status: 200 })
    t.equal(shop.arrivals, arrivalsBefore)
  })

  await t.test('the request stays refused while the store is away', async t => {
    first.store.fault = 'busy'
    first.store.closeConnections()
    for (const host of hosts) await host.waitForLogLine('store lost')
    const arrivalsBefore = shop.arrivals
    for (const host of hosts) {
      t.match(await send(host, '/order/x', `${deadlyBody} /order/x`), { status: 503, body: /not_run/ })
    }
    for (const host of hosts) t.match(await send(host, '/order/x', 'sound-away'), { status: 200 })
    t.equal(shop.arrivals, arrivalsBefore)
    first.store.fault = 'none'
    const isRegained = (line: string): boolean => line.includes('"message":"store regained"')
    for (const host of hosts) await waitUntil(() => host.logLines.filter(isRegained).length >= 2)
  })

  await t.test('guards against accusing a shared prompt part because one request with it comes again', async t => {
    const refusals = hosts.flatMap(host => host.logLines).filter(line => line.includes('"prompt part refused"'))
    t.same(refusals, [])
  })

  await t.test('guards against refusing sound requests for long when upstreams end for another reason', async t => {
    const pending = Array.from({ length: 5 * hostCount }, async (_, i) => {
      return await send(hosts[i % hosts.length]!, '/read/x', `fresh-${i % 4}`).catch(() => undefined)
    })
    const hasFresh = (engine: UpstreamStandIn): boolean => engine.requests.some(({ body }) => body.startsWith('fresh'))
    await waitUntil(() => shop.engines.filter(hasFresh).length > 2)
    for (const engine of [...shop.engines]) shop.kill(engine)
    await Promise.all(pending)
    for (let waitedMs = 0; waitedMs < stableWindowMs; waitedMs += 200) {
      for (let i = 0; i < 4; i++) await send(hosts[i]!, '/read/x', `fresh-${i}`).catch(() => {})
      await delay(200)
    }
    for (const host of hosts) {
      for (let i = 0; i < 4; i++) t.match(await send(host, '/read/x', `fresh-${i}`), { status: 200 })
    }
  })
})
