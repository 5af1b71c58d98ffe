import t from 'tap'
import { createSeededRandom } from '../../../shared/createSeededRandom.js'
import type { StageWork } from '../../../types/stageWork.js'
import type { Upstream } from '../../../types/upstream.js'
import { createStageRouter } from '../createStageRouter.js'

const none: ReadonlySet<string> = new Set()

function buildUpstreams (count: number): readonly Upstream[] {
  return Array.from({ length: count }, (_, i) => ({ id: `api-${i}`, address: `10.0.0.${i}:80`, pool: 'api', failureDomain: 'a', state: 'live' }))
}

function buildWork (id: number, idempotent = true): StageWork {
  return { workId: `a/${id}/call`, account: 'a', pool: 'api', operation: 'call', cost: 1, priority: 5, deadlineMs: 1e9, idempotent }
}

/** Runs `count` calls one after another with the latency that `latency` returns for each upstream. */
function runCalls (count: number, latency: (upstreamId: string) => number) {
  const router = createStageRouter({ random: createSeededRandom(1) })
  router.applyUpstreams(buildUpstreams(4), 0)
  const counts = new Map<string, number>()
  let nowMs = 0
  for (let i = 0; i < count; i++) {
    const work = buildWork(i, false)
    const id = router.route(work, none, nowMs)?.upstreamId as string
    counts.set(id, (counts.get(id) ?? 0) + 1)
    router.onSent(id, work, nowMs)
    nowMs += latency(id)
    router.onEnded(id, work, 'completed', latency(id), nowMs)
  }
  return { router, counts, nowMs }
}

t.test('sends little work to an upstream whose calls are slow', t => {
  const { counts } = runCalls(400, id => id === 'api-2' ? 160 : 20)
  t.ok((counts.get('api-2') ?? 0) < 8, `${counts.get('api-2')} of 400 calls`)
  t.end()
})

t.test('sends no work to a leaving upstream that the host list still calls live', t => {
  const { router, nowMs } = runCalls(40, () => 20)
  router.onLeaving('api-1', nowMs)
  router.applyUpstreams(buildUpstreams(4), nowMs + 10_000)
  const chosen = Array.from({ length: 100 }, (_, i) => router.route(buildWork(1000 + i), none, nowMs + 10_000)?.upstreamId)
  t.notOk(chosen.includes('api-1'))
  t.end()
})

t.test('limits retries and hedges together to 5% of the work', t => {
  const { router, nowMs } = runCalls(1000, () => 20)
  const granted = Array.from({ length: 500 }, (_, i) => i % 2 === 0 ? router.admitRetry(buildWork(5000 + i), nowMs) : router.admitHedge(buildWork(5000 + i), nowMs))
  const count = granted.filter(Boolean).length
  t.ok(count > 20 && count <= 50, `${count} extra attempts for 1000 calls`)
  t.end()
})

t.test('does not choose an excluded upstream', t => {
  const { router, nowMs } = runCalls(40, () => 20)
  const excluded = new Set(['api-0', 'api-1', 'api-2'])
  for (let i = 0; i < 50; i++) t.equal(router.route(buildWork(9000 + i), excluded, nowMs)?.upstreamId, 'api-3')
  t.equal(router.route(buildWork(1), new Set([...excluded, 'api-3']), nowMs), undefined)
  t.end()
})

t.test('does not send work to a runner that has not loaded the model', t => {
  const { router, nowMs } = runCalls(40, () => 20)
  const report = { running: 0, waiting: 0, slots: 8, kvUsed: 0, atMs: nowMs }
  for (let i = 0; i < 4; i++) router.onLoadReport({ ...report, upstreamId: `api-${i}`, models: i === 2 ? ['long', 'short'] : ['short'] }, nowMs)
  const chosen = new Set(Array.from({ length: 50 }, (_, i) => router.route({ ...buildWork(9000 + i), model: 'long' }, none, nowMs)?.upstreamId))
  t.same([...chosen], ['api-2'])
  t.end()
})

t.test('guards against a pool whose upstreams all break the protocol and get every request', t => {
  const pauses: Array<readonly [string, number]> = []
  const router = createStageRouter({
    random: createSeededRandom(1),
    onPaused: ({ id }, pauseMs) => { pauses.push([id, pauseMs]) }
  })
  router.applyUpstreams(buildUpstreams(2), 0)
  let id = 0
  const run = (outcome: 'completed' | 'invalid', nowMs: number): string | undefined => {
    const work = buildWork(++id, false)
    const upstreamId = router.route(work, none, nowMs)?.upstreamId
    if (upstreamId === undefined) return undefined
    router.onSent(upstreamId, work, nowMs)
    router.onEnded(upstreamId, work, outcome, 1, nowMs)
    return upstreamId
  }
  for (let i = 0; i < 6; i++) t.ok(run('invalid', 10))
  t.same(pauses.map(([, pauseMs]) => pauseMs), [1000, 1000])
  t.equal(new Set(pauses.map(([paused]) => paused)).size, 2)
  t.equal(run('completed', 500), undefined)
  t.equal(router.computePauseMs('api', 500), 510)
  t.equal(router.computePauseMs('other', 500), undefined)

  const first = buildWork(100)
  const second = buildWork(101)
  for (const work of [first, second]) router.onSent(router.route(work, none, 1010)!.upstreamId, work, 1010)
  t.equal(run('completed', 1010), undefined, 'one attempt at a time after the pause')
  router.onEnded('api-0', first, 'completed', 1, 1020)
  router.onEnded('api-0', second, 'completed', 1, 1020)
  router.onEnded('api-1', first, 'invalid', 1, 1020)
  router.onEnded('api-1', second, 'invalid', 1, 1020)
  t.equal(run('completed', 1030), 'api-0')
  t.same(pauses.slice(2), [['api-1', 1000]], 'the pause does not grow')
  t.equal(router.computePauseMs('api', 1030), undefined)
  t.end()
})
