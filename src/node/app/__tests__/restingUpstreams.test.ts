import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

/** Bounds that the operator states: time until a host keeps to a pause, requests that may arrive in its rest. */
const graceMs = 500
const maxArrivals = 2
const restMs = 2000
const clientCount = 16

interface Exchange {
  readonly atMs: number
  /** Time until which the upstream asked for no more requests; undefined when it took the request. */
  readonly restsUntilMs?: number
}

/** Requests that reached an upstream while it had asked for none. */
function countEarlyArrivals (exchanges: readonly Exchange[]): number {
  const isEarly = ({ atMs }: Exchange): boolean => exchanges.some(asked =>
    asked.restsUntilMs !== undefined && atMs > asked.atMs + graceMs && atMs < asked.restsUntilMs)
  return exchanges.filter(isEarly).length
}

t.test('upstreams that ask for no requests for a while', { timeout: 60_000 }, async t => {
  const fleet = await new GatewayTestHarness().start()
  const exchanges = new Map<string, Exchange[]>()
  let restingIds: readonly string[] = []
  let isNotRunStated = true
  let retryAfter = String(restMs / 1000)
  let handleCount = 0
  const upstreams: UpstreamStandIn[] = []
  const startUpstream = async (id: string, service: string): Promise<void> => {
    const upstream = await new UpstreamStandIn(id, (request, socket) => {
      const atMs = Date.now()
      const isResting = restingIds.includes(id)
      exchanges.get(id)!.push({ atMs, restsUntilMs: isResting ? atMs + restMs : undefined })
      const notRun: Readonly<Record<string, string>> = isNotRunStated ? { 'X-Not-Executed': '1' } : {}
      const headers = { 'Retry-After': retryAfter, ...notRun, 'X-Response-Signature': '' }
      if (isResting) socket.write(buildStandInAnswer(request, { status: 503, headers }))
      else if (service === 'oven') {
        const { items } = JSON.parse(request.body) as { readonly items?: readonly unknown[] }
        const body = JSON.stringify({ items: (items ?? []).map(() => ({ handle: `127.0.0.1:1/${++handleCount}` })) })
        socket.write(buildStandInAnswer(request, { body }))
      } else socket.write(buildStandInAnswer(request, { body: 'id: 1\ndata: a\n\n' }))
    }).start()
    exchanges.set(id, [])
    upstreams.push(upstream)
    fleet.addUpstream(upstream, service)
  }
  t.teardown(async () => {
    await fleet.stop()
    for (const upstream of upstreams) upstream.stop()
  })
  for (const service of ['shop', 'llm', 'oven']) {
    for (const i of [1, 2]) await startUpstream(`i-${service}-${i}`, service)
  }
  const version = fleet.writeConfiguration({
    services: [
      { name: 'shop', connectionLimit: 100 },
      { name: 'llm', connectionLimit: 100, engine: { slots: 8, kvCacheTokens: 100_000 } },
      {
        name: 'oven',
        connectionLimit: 100,
        pieces: { slots: 1, queue: 2, batch: 8, callMs: 20, itemMs: 1, headroomMb: 10, handleS: 4, linkMbps: 1000 }
      }
    ],
    routes: [
      { name: 'read', pathPrefix: '/read/', service: 'shop' },
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm' },
      {
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'streaming',
        service: 'llm',
        stages: [{ service: 'oven', after: [], bytes: 10 }]
      }
    ]
  })
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-oven-2')
  const send = async (path: string): ReturnType<GatewayTestHarness['send']> => {
    const headers = { 'x-token-counts': '100,10', 'x-prompt-prefix': 'own:100', 'x-pieces': '2', 'x-piece-key': 'k' }
    return await fleet.send(path, { method: path === '/order/x' ? 'POST' : 'GET', headers })
  }
  /** Many clients at the same time, each one request after another. */
  const sendLoad = async (paths: readonly string[], durationMs: number) => {
    const answers: Array<Awaited<ReturnType<typeof send>>> = []
    const endMs = Date.now() + durationMs
    await Promise.all(Array.from({ length: clientCount }, async (_, i) => {
      for (; Date.now() < endMs; await delay(20)) answers.push(await send(paths[i % paths.length]!))
    }))
    return answers
  }
  const startSpell = (ids: readonly string[]): void => {
    for (const list of exchanges.values()) list.length = 0
    restingIds = ids
  }
  const countAll = (ids: readonly string[]): Readonly<Record<string, number>> =>
    Object.fromEntries(ids.map(id => [id, countEarlyArrivals(exchanges.get(id)!)]))
  const listOver = (ids: readonly string[]): readonly string[] =>
    Object.entries(countAll(ids)).filter(([, count]) => count > maxArrivals).map(([id, count]) => `${id}: ${count}`)

  for (const { paths, service } of [
    { paths: ['/read/x', '/order/x'], service: 'shop' },
    { paths: ['/ask/x'], service: 'llm' },
    { paths: ['/plan/x'], service: 'oven' }
  ]) {
    const all = [`i-${service}-1`, `i-${service}-2`]
    await t.test(`guards against requests to upstreams that have all asked for none: ${service}`, async t => {
      startSpell(all)
      const answers = await sendLoad(paths, restMs)
      t.same(listOver(all), [])
      const last = answers.at(-1)
      t.match(last, { status: 503, headers: { 'retry-after': /^[\d.]+$/ } }, 'clients are told when to come again')
      startSpell([])
      await delay(restMs)
      const served = (await sendLoad(paths, 1000)).filter(answer => answer.status === 200)
      t.ok(served.length > clientCount, 'served again afterwards')
    })
    await t.test(`guards against requests to the one upstream that has asked for none: ${service}`, async t => {
      startSpell(all.slice(0, 1))
      const answers = await sendLoad(paths, restMs)
      t.same(listOver(all), [])
      t.ok(answers.filter(answer => answer.status === 200).length > answers.length * 0.9, 'the other upstream serves')
      startSpell([])
      await delay(restMs)
      await sendLoad(paths, 500)
      t.ok(exchanges.get(all[0]!)!.length > 0, 'it is used again afterwards')
    })
  }

  await t.test('guards against requests to upstreams that ask for none and do not say that nothing ran', async t => {
    isNotRunStated = false
    const all = ['i-shop-1', 'i-shop-2']
    startSpell(all)
    await sendLoad(['/read/x', '/order/x'], restMs)
    t.same(listOver(all), [])
    startSpell([])
    isNotRunStated = true
    await delay(restMs)
  })

  await t.test('times that cannot be read, are zero or very long do not take an upstream out for good', async t => {
    for (const value of ['soon', '0', '-3', '', 'Wed, 21 Oct 2015 07:28:00 GMT']) {
      retryAfter = value
      startSpell(['i-shop-1', 'i-shop-2'])
      await sendLoad(['/read/x'], 200)
      startSpell([])
      await delay(1100)
      t.match(await send('/read/x'), { status: 200 }, `Retry-After: ${value}`)
    }
  })

  await t.test('an instance that starts again under the id begins anew', async t => {
    retryAfter = '1000000000'
    startSpell(['i-shop-1', 'i-shop-2'])
    await sendLoad(['/read/x'], 200)
    startSpell([])
    t.match(await send('/read/x'), { status: 503 })
    for (const upstream of upstreams.slice(0, 2)) {
      const entry = { service: 'shop', address: upstream.address, zone: 'quay-a', slots: 4, state: 'ready', born: 2 }
      fleet.store.write(`servers/${upstream.id}`, entry)
    }
    for (const { id } of upstreams.slice(0, 2)) await fleet.waitForLogLine('upstream started again', id)
    t.match(await send('/read/x'), { status: 200 })
  })
})
