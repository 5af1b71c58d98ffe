import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { LinkedFleet } from '../../../../playground/platform/linkedFleet.js'
import { standInAnswers } from '../../../../playground/platform/standInAnswers.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import type { LinkCut } from '../../../../playground/platform/linkCut.js'

/** Time from the beginning of a cut after which the hosts must serve, and the share that they then serve. */
const stableWindowMs = 3000
const minServedShare = 0.9
/** Time within which a request must end at its upstream once its client has left. */
const cancelMs = 500
const countedMs = 2000
/** Time after the heal of a cut in which the host uses its own connections again. */
const healMs = 2000
const intervalMs = 100
const hostCount = 4
const paths = ['/read/x', '/order/x', '/ask/x', '/plan/x']

type Answer = Awaited<ReturnType<GatewayTestHarness['send']>>

t.test('hosts that are cut off from all upstreams', { timeout: 110_000 }, async t => {
  // The last host schedules the stages because it has the most cores.
  const fleet = await new LinkedFleet({
    hostCount,
    linkedCount: 2,
    settings: i => i === hostCount ? { cores: 4 } : {}
  }).start()
  t.teardown(async () => { await fleet.stop() })
  for (const id of ['i-shop-1', 'i-shop-2']) await fleet.startUpstream(id, 'shop', standInAnswers.sendPlain)
  for (const id of ['i-llm-1', 'i-llm-2']) await fleet.startUpstream(id, 'llm', standInAnswers.sendEvents)
  for (const id of ['i-oven-1', 'i-oven-2']) await fleet.startUpstream(id, 'oven', standInAnswers.sendPieceResults)
  const pieces = { slots: 1, queue: 2, batch: 8, callMs: 20, itemMs: 1, headroomMb: 10, handleS: 4, linkMbps: 1000 }
  await fleet.applyConfiguration({
    services: [
      { name: 'shop', connectionLimit: 100 },
      { name: 'llm', connectionLimit: 100, engine: { slots: 8, kvCacheTokens: 100_000 } },
      { name: 'oven', connectionLimit: 100, pieces }
    ],
    routes: [
      { name: 'read', pathPrefix: '/read/', service: 'shop' },
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm', resumeStreams: true },
      {
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'streaming',
        service: 'llm',
        stages: [{ service: 'oven', after: [], bytes: 10 }]
      }
    ]
  })
  const [other, scheduling] = fleet.linkedHosts as [GatewayTestHarness, GatewayTestHarness]
  const shops = fleet.upstreams.filter(({ id }) => id.startsWith('i-shop'))

  let sentCount = 0
  const send = async (host: GatewayTestHarness, path: string, signal?: AbortSignal): Promise<Answer> => {
    const streamHeaders = { 'x-token-counts': '100,10', 'x-prompt-prefix': `shared:50,own-${++sentCount}:50` }
    const headers: Readonly<Record<string, string>> = path === '/plan/x'
      ? { ...streamHeaders, 'x-pieces': '2', 'x-piece-key': 'k' }
      : path === '/ask/x' ? streamHeaders : {}
    return await host.send(path, { method: path === '/order/x' ? 'POST' : 'GET', headers, signal })
  }
  const isServed = async (host: GatewayTestHarness, path: string): Promise<boolean> => {
    const answer = await send(host, path).catch(() => undefined)
    const isStream = path === '/ask/x' || path === '/plan/x'
    const isWhole = !isStream || answer?.body.includes(`token-${standInAnswers.eventCount}`) === true
    return answer?.status === 200 && answer.isComplete && isWhole
  }
  /** Sends one request of each route to each host again and again; resolves to what is served too seldom. */
  const listSeldomServed = async (durationMs: number): Promise<readonly string[]> => {
    const results: Array<Promise<readonly [key: string, isServed: boolean]>> = []
    for (const endMs = Date.now() + durationMs; Date.now() < endMs; await delay(intervalMs)) {
      for (const [i, host] of fleet.hosts.entries()) {
        for (const path of paths) {
          results.push(isServed(host, path).then(isServed => [`host-${i + 1} ${path}`, isServed]))
        }
      }
    }
    const counts = new Map<string, { served: number, all: number }>()
    for (const [key, isServed] of await Promise.all(results)) {
      const { served, all } = counts.get(key) ?? { served: 0, all: 0 }
      counts.set(key, { served: served + Number(isServed), all: all + 1 })
    }
    return [...counts]
      .filter(([, { served, all }]) => served < all * minServedShare)
      .map(([key, { served, all }]) => `${key}: ${served} of ${all}`)
  }
  const countLines = (text: string): number => {
    return fleet.linkedHosts.flatMap(host => host.logLines).filter(line => line.includes(text)).length
  }
  const openLinks = async (): Promise<void> => {
    await fleet.openLinks()
    await waitUntil(() => countLines('"upstreams reached again"') === countLines('"cut off from upstreams"'))
  }

  t.same(await listSeldomServed(500), [], 'all hosts serve before')
  for (const kind of ['refused', 'silent', 'half-open'] as const satisfies readonly LinkCut[]) {
    await t.test(`guards against a host that serves nothing while it alone is cut off: ${kind}`, async t => {
      fleet.closeLinks([scheduling], kind)
      const load = listSeldomServed(stableWindowMs)
      await delay(stableWindowMs)
      t.same(await listSeldomServed(countedMs), [])
      await load
      const healedAtMs = Date.now()
      await openLinks()
      t.ok(Date.now() - healedAtMs <= healMs, 'the links are used again in time')
      t.same(await listSeldomServed(500), [], 'all hosts serve after')
      const relayedCount = countLines('relayedBy')
      await listSeldomServed(300)
      t.equal(countLines('relayedBy'), relayedCount, 'its own connections are used again')
    })
  }

  await t.test('guards against a cut that comes back at once and finds no host that relays', async t => {
    for (let i = 0; i < 3; i++) {
      fleet.closeLinks([scheduling], 'refused')
      await listSeldomServed(300)
      t.same(await listSeldomServed(300), [], `cut ${i + 1}`)
      await openLinks()
    }
  })

  await t.test('two hosts that are cut off at the same time do not take each other for the way out', async t => {
    fleet.closeLinks(fleet.linkedHosts, 'refused')
    const load = listSeldomServed(1000)
    await delay(1000)
    await load
    t.same(await listSeldomServed(1000), [])
    const lastLines = fleet.linkedHosts.flatMap(host => host.logLines.slice(-50))
    const relayedBy = lastLines.filter(line => line.includes('relayedBy'))
    t.ok(relayedBy.length > 0)
    t.same(relayedBy.filter(line => /"relayedBy":"host-[34]"/.test(line)), [])
    await openLinks()
  })

  await t.test('guards against accusing the prompt parts of requests whose connections a cut has reset', async t => {
    const isAccused = (line: string): boolean => line.includes('upstream ended before an answer')
    const before = fleet.hosts.flatMap(host => host.logLines).filter(isAccused).length
    const engines = fleet.upstreams.filter(({ id }) => id.startsWith('i-llm'))
    for (const engine of engines) engine.answer = () => {}
    const asked = Array.from({ length: 6 }, async () => await send(other, '/ask/x').catch(() => undefined))
    await delay(200)
    fleet.closeLinks([other], 'refused')
    for (const engine of engines) engine.answer = standInAnswers.sendEvents
    for (const answer of await Promise.all(asked)) t.match(answer, { status: 200 }, 'sent again by way of another host')
    t.equal(fleet.hosts.flatMap(host => host.logLines).filter(isAccused).length, before)
    await openLinks()
  })

  await t.test('a client that leaves ends its request at the upstream also by way of another host', async t => {
    fleet.closeLinks([other], 'refused')
    await listSeldomServed(300)
    await other.waitForLogLine('cut off from upstreams')
    const closedAtMs: number[] = []
    for (const upstream of shops) {
      upstream.answer = (_, socket) => { socket.once('close', () => closedAtMs.push(Date.now())) }
    }
    const controller = new AbortController()
    const left = send(other, '/order/x', controller.signal).catch(() => undefined)
    await delay(300)
    const leftAtMs = Date.now()
    controller.abort()
    await left
    await waitUntil(() => closedAtMs.length > 0)
    t.ok(closedAtMs[0]! - leftAtMs <= cancelMs, `ended after ${closedAtMs[0]! - leftAtMs} ms`)
    for (const upstream of shops) upstream.answer = standInAnswers.sendPlain
    await openLinks()
  })

  await t.test('guards against requests that run twice or get no answer when the relaying hosts stop', async t => {
    const runs = new Map<string, number>()
    const unsafeIds = new Set<string>()
    const allHosts = [...fleet.hosts]
    for (const upstream of shops) {
      upstream.answer = (request, socket) => {
        const id = request.headers['x-request-id']!
        runs.set(id, (runs.get(id) ?? 0) + 1)
        if (request.method === 'POST') unsafeIds.add(id)
        setTimeout(() => { standInAnswers.sendPlain(request, socket) }, 50)
      }
    }
    fleet.closeLinks([other], 'silent')
    await listSeldomServed(2000)
    const answers: Array<Promise<Answer | undefined>> = []
    const sendLoad = async (durationMs: number): Promise<void> => {
      for (const endMs = Date.now() + durationMs; Date.now() < endMs; await delay(20)) {
        answers.push(send(other, '/order/x').catch(() => undefined))
      }
    }
    const load = sendLoad(3000)
    for (const host of fleet.hosts.splice(0, 2)) {
      await delay(500)
      host.host.drain()
      await host.host.waitUntilStopped()
    }
    await load
    const statuses = (await Promise.all(answers)).map(answer => answer?.status)
    const repeatedIds = [...runs.keys()].filter(id => runs.get(id)! > 1)
    t.same(repeatedIds.filter(id => unsafeIds.has(id)), [], 'no unsafe request ran twice')
    const isRetry = (line: string): boolean => line.includes('"action":"send-again"')
    const countRetries = (id: string): number => {
      return allHosts.flatMap(host => host.logLines).filter(line => isRetry(line) && line.includes(`"${id}"`)).length
    }
    const unexplainedIds = repeatedIds.filter(id => runs.get(id)! > 1 + countRetries(id))
    t.same(unexplainedIds, [], 'no other request ran twice without a retry')
    t.same(statuses.filter(status => status === undefined), [], 'each request has its answer')
    const servedCount = statuses.filter(status => status === 200).length
    t.ok(servedCount >= statuses.length * minServedShare, `${servedCount} of ${statuses.length} served`)
  })
})
