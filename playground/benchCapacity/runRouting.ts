import { createAdmissionController } from '../../src/node/admission/createAdmissionController.js'
import { chooseConnectionSubset } from '../../src/node/routing/chooseConnectionSubset.js'
import { createStageRouter } from '../../src/node/routing/createStageRouter.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { RoutingCore } from '../../src/types/routingCore.js'
import type { StageWork } from '../../src/types/stageWork.js'
import { buildContracts } from './buildContracts.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'
import { readHeapBytes } from './readHeapBytes.js'
import { runTimed } from './runTimed.js'

const decisions = 4000
const attemptsPerRunner = 4
const subsetSize = 64
const noIds: ReadonlySet<string> = new Set()

interface RoutingCost {
  readonly runners: number
  readonly routeUs: readonly number[]
  readonly silentUs: readonly number[]
  readonly attemptUs: readonly number[]
  readonly admitUs: readonly number[]
  readonly reportUs: readonly number[]
  readonly heapMb: number
  readonly subsetMs: readonly number[]
}

/** Measures the CPU time of routing and admission, and the memory of the router, by number of runners that a host is connected to. */
export async function runRouting (): Promise<readonly CapacitySeries[]> {
  const costs = capacityConstants.runners.map(runRunners)
  const build = (figure: string, unit: string, read: (cost: RoutingCost) => readonly number[]): CapacitySeries => {
    return createSeries({ part: 'routing', figure, unit, sizeName: 'runners', targetSize: capacityConstants.targetRunners }, costs.map(cost => [cost.runners, read(cost)]))
  }
  return [
    build('one route()', 'us', cost => cost.routeUs),
    build('one route() while all runners are slow', 'us', cost => cost.silentUs),
    build('one attempt: route(), onSent(), onProgress(), onEnded()', 'us', cost => cost.attemptUs),
    build('one admit()', 'us', cost => cost.admitUs),
    build('one onLoadReport()', 'us', cost => cost.reportUs),
    build('memory of the router, 4 attempts per runner', 'MB', cost => [cost.heapMb]),
    build('chooseConnectionSubset of 340 hosts', 'ms', cost => cost.subsetMs)
  ]
}

function runRunners (count: number): RoutingCost {
  const ids = Array.from({ length: count }, (_, i) => `runner-${i}`)
  const before = readHeapBytes()
  const router = createRouter(ids)
  for (let i = 0; i < count * attemptsPerRunner; i++) sendWork(router, i, ids[i % count]!, i / 100)
  const heapMb = (readHeapBytes() - before) / 1e6
  // Ends the attempts, because attempts without progress would mark every runner as slow.
  for (let i = 0; i < count * attemptsPerRunner; i++) router.onEnded(ids[i % count]!, buildWork(i, 0), 'completed', 800, 800)
  let nowMs = 1000
  let next = 1e6
  const routeUs = runTimed(decisions, () => { router.route(buildWork(next++, nowMs), noIds, nowMs += 0.05) })
  const silentUs = runSilent(ids)
  const attemptUs = runTimed(decisions, () => {
    const work = buildWork(next++, nowMs)
    const chosen = router.route(work, noIds, nowMs += 0.05)
    if (chosen === undefined) return
    router.onSent(chosen.upstreamId, work, nowMs)
    router.onProgress(chosen.upstreamId, work, 1, nowMs + 0.01)
    router.onEnded(chosen.upstreamId, work, 'completed', 800, nowMs + 0.02)
  })
  const reportUs = runTimed(decisions, i => {
    router.onLoadReport({ upstreamId: ids[i % count]!, running: 4, waiting: 0, slots: 16, kvUsed: 0.2, atMs: nowMs += 0.05 }, nowMs)
  })
  const admitUs = runAdmissions(router, nowMs)
  const hostIds = Array.from({ length: capacityConstants.targetHosts }, (_, i) => `host-${i}`)
  const subsetMs = runTimed(1, () => { chooseConnectionSubset('host-0', hostIds, ids, subsetSize) }).map(us => us / 1000)
  return { runners: count, routeUs, silentUs, attemptUs, admitUs, reportUs, heapMb, subsetMs }
}

function createRouter (ids: readonly string[]): RoutingCore {
  const router = createStageRouter({ random: createSeededRandom(capacityConstants.seed), countHosts: () => 1 })
  router.applyUpstreams(ids.map(id => ({ id, address: '127.0.0.1:1', pool: 'runners', failureDomain: 'a', state: 'live' })), 0)
  for (const upstreamId of ids) router.onLoadReport({ upstreamId, running: 4, waiting: 0, slots: 16, kvUsed: 0.2, atMs: 0 }, 0)
  return router
}

/** Measures `route` when all runners are slow because they have been silent for a second. */
function runSilent (ids: readonly string[]): readonly number[] {
  const router = createRouter(ids)
  for (const [i, id] of ids.entries()) sendWork(router, i, id, 0)
  let nowMs = 1000
  let next = 1e6
  return runTimed(decisions, () => { router.route(buildWork(next++, nowMs), noIds, nowMs += 0.05) })
}

function buildWork (index: number, nowMs: number): StageWork {
  return {
    workId: `account/${index}/answer`,
    account: 'account',
    pool: 'runners',
    operation: 'generate',
    model: 'model',
    cost: 40,
    priority: 5,
    deadlineMs: nowMs + 11_000,
    idempotent: true,
    prefixHash: `prefix-${index % 500}`
  }
}

function sendWork (router: RoutingCore, index: number, upstreamId: string, nowMs: number): void {
  router.onSent(upstreamId, buildWork(index, nowMs), nowMs)
}

function runAdmissions (router: RoutingCore, nowMs: number): readonly number[] {
  const revision = buildContracts(1)[0]!
  const [kind, spec] = Object.entries(revision.contract!.kinds).sort((a, b) => b[1].stages.length - a[1].stages.length)[0]!
  const stages = spec.stages.map(stage => ({ ...stage, pool: 'runners' }))
  const admission = createAdmissionController({ limiter: { take: () => ({ granted: true, retryAfterMs: 0 }) }, estimator: router, contracts: { find: () => revision } })
  const request = { requestId: 'r', account: revision.account, kind, stages, priority: 9, idempotent: true, remainingMs: 1e9, tokens: 40 }
  return runTimed(decisions, i => { admission.admit(request, nowMs + i * 0.05) })
}
