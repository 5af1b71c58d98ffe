import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

/**
 * Bounds that the operator states: time after which a limit counts, span that is counted, allowed factor and excess.
 */
const stableWindowMs = 3000
const countedSpanMs = 4000
const allowedFactor = 1.5
const allowedExcess = 5
const limitPerSecond = 1
const hostCount = 3
const loadMs = 11_000
const loadIntervalMs = 50

t.test('upstream limits', { timeout: 60_000 }, async t => {
  const first = await new GatewayTestHarness().start()
  const hosts = [first]
  for (let i = 2; i <= hostCount; i++) hosts.push(await new GatewayTestHarness(`host-${i}`, first.store).start())
  const arrivalsMs = new Map<string, number[]>()
  let limits: Readonly<Record<string, string>> = {}
  const upstreams: UpstreamStandIn[] = []
  const startUpstream = async (id: string, service: string): Promise<void> => {
    const upstream = await new UpstreamStandIn(id, (request, socket) => {
      arrivalsMs.get(id)!.push(Date.now())
      const limit = limits[id]
      const headers: Readonly<Record<string, string>> = limit === undefined ? {} : { 'Server-Limit': limit }
      socket.write(buildStandInAnswer(request, { body: 'id: 1\ndata: a\n\n', headers }))
    }).start()
    arrivalsMs.set(id, [])
    upstreams.push(upstream)
    first.addUpstream(upstream, service)
  }
  t.teardown(async () => {
    for (const upstream of upstreams) upstream.stop()
    for (const host of [...hosts].reverse()) await host.stop()
  })
  for (const id of ['i-limited', 'i-free']) await startUpstream(id, 'shop')
  for (const id of ['i-engine-limited', 'i-engine-free']) await startUpstream(id, 'llm')
  const version = first.writeConfiguration({
    services: [
      { name: 'shop', connectionLimit: 200 },
      { name: 'llm', connectionLimit: 200, engine: { slots: 8, kvCacheTokens: 100_000 } }
    ],
    routes: [
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm' }
    ]
  })
  for (const host of hosts) {
    await host.waitForLogLine('configuration in force', `"version":${version}`)
    await host.waitForLogLine('upstream added', 'i-engine-free')
  }
  /** Sends requests of both routes to all hosts in turn; resolves to their statuses. */
  const sendLoad = async (durationMs: number): Promise<readonly number[]> => {
    const answers: Array<Promise<number>> = []
    for (let i = 0; i * loadIntervalMs < durationMs; i++) {
      const host = hosts[i % hosts.length]!
      answers.push(host.send('/order/x', { method: 'POST' }).then(answer => answer.status))
      const headers = { 'x-token-counts': '100,10', 'x-prompt-prefix': `own-${i}:100` }
      answers.push(host.send('/ask/x', { headers }).then(answer => answer.status))
      await delay(loadIntervalMs)
    }
    return await Promise.all(answers)
  }
  const countMostArrivals = (id: string, fromMs: number): number => {
    const counted = arrivalsMs.get(id)!.filter(atMs => atMs >= fromMs)
    const countFrom = (startMs: number): number => {
      return counted.filter(atMs => atMs >= startMs && atMs < startMs + countedSpanMs).length
    }
    return Math.max(0, ...counted.map(countFrom))
  }
  const allowed = limitPerSecond * countedSpanMs / 1000 * allowedFactor + allowedExcess

  await t.test('guards against all hosts together sending an upstream more than the limit that it named', async t => {
    limits = { 'i-limited': String(limitPerSecond), 'i-engine-limited': String(limitPerSecond) }
    const namedAtMs = Date.now()
    const statuses = await sendLoad(loadMs)
    for (const id of Object.keys(limits)) {
      const most = countMostArrivals(id, namedAtMs + stableWindowMs)
      t.ok(most <= allowed, `requests that reached ${id} in 4 s: ${most}`)
      t.ok(most > 0, `${id} is used within its limit`)
    }
    t.same([...new Set(statuses)], [200], 'other upstreams take what a limited one does not')
  })
  await t.test('requests are refused at once, as not run, when all upstreams have reached their limits', async t => {
    limits = { 'i-limited': '1', 'i-free': '1', 'i-engine-limited': '1', 'i-engine-free': '1' }
    await sendLoad(2000)
    const fromMs = Date.now()
    const sendOrders = (host: GatewayTestHarness): ReadonlyArray<ReturnType<GatewayTestHarness['send']>> =>
      Array.from({ length: 10 }, async () => await host.send('/order/x', { method: 'POST' }))
    const answers = await Promise.all(hosts.flatMap(sendOrders))
    t.ok(Date.now() - fromMs < 1000, 'nothing waits for its deadline')
    const refused = answers.filter(answer => answer.status !== 200)
    t.ok(refused.length >= answers.length - 2 * hostCount, `${refused.length} of ${answers.length} are refused`)
    const refusal = { status: 503, body: /not_run/, headers: { 'retry-after': /^[\d.]+$/ } }
    for (const answer of refused) t.match(answer, refusal)
  })

  await t.test('a limit that cannot be read changes nothing, and an answer without one ends it', async t => {
    limits = { 'i-limited': 'some', 'i-free': 'some' }
    await sendLoad(5000)
    for (const host of hosts) await host.waitForLogLine('upstream limit not readable', '"limitInForce":1')
    limits = {}
    await sendLoad(5000)
    for (const host of hosts) await host.waitForLogLine('upstream limit ended', 'i-free')
    t.same([...new Set(await sendLoad(1000))], [200])
  })
  await t.test('guards against moving all traffic to the only upstream that has not named a limit yet', async t => {
    limits = { 'i-engine-limited': '1' }
    await sendLoad(1000)
    const silent = upstreams.find(upstream => upstream.id === 'i-engine-free')!
    let inProgress = 0
    let mostInProgress = 0
    silent.answer = (_, socket) => {
      mostInProgress = Math.max(mostInProgress, ++inProgress)
      socket.once('close', () => { inProgress-- })
    }
    const fromMs = Date.now()
    const refusedMs: number[] = []
    await Promise.all(hosts.flatMap(host => Array.from({ length: 15 }, async () => {
      const headers = { 'x-token-counts': '100,10', 'x-prompt-prefix': 'own:100' }
      const { status } = await host.send('/ask/x', { headers })
      if (status === 503) refusedMs.push(Date.now() - fromMs)
    })))
    t.ok(mostInProgress <= 2 * hostCount, `requests in progress at an upstream with 4 places: ${mostInProgress}`)
    t.ok(refusedMs.length >= 15 * hostCount - 4 * hostCount, `${refusedMs.length} are refused`)
    t.ok(Math.max(...refusedMs) < 1000, 'nothing waits for its deadline to be refused')
  })
})
