import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createAdmissionController } from '../../src/node/admission/createAdmissionController.js'
import { chooseConnectionSubset } from '../../src/node/routing/chooseConnectionSubset.js'
import { createStageRouter } from '../../src/node/routing/createStageRouter.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { AdmissionRequest } from '../../src/types/admissionRequest.js'
import type { RoutingCore } from '../../src/types/routingCore.js'
import type { StageSpec } from '../../src/types/stageSpec.js'
import type { StageWork } from '../../src/types/stageWork.js'
import type { Upstream } from '../../src/types/upstream.js'
import type { CostResult } from './costResult.js'

const runners = 2800
const hosts = 340
const decisions = 200_000
const inFlight = 400
const noExclusions: ReadonlySet<string> = new Set()

/**
 * Measures the CPU time of decisions and the memory of the router at the target size, with some hundred attempts in
 * flight at this host. Routing and admission are measured with a quarter of the runners slow.
 */
export function computeCost (): CostResult {
  const upstreams = buildUpstreams()
  const before = readHeapBytes()
  const router = createStageRouter({ random: createSeededRandom(1), countHosts: () => hosts })
  router.applyUpstreams(upstreams, 0)
  sendReports(router, 0)
  const bytesPerRunner = (readHeapBytes() - before) / runners
  const attemptUs = runAttempts(router)
  sendRefusals(router)
  return { routingUs: runRouting(router), attemptUs, admissionUs: runAdmission(router), bytesPerRunner, subsetMs: runSubset() }
}

function buildUpstreams (): readonly Upstream[] {
  return Array.from({ length: runners }, (_, i) => ({ id: `runner-${i}`, address: `10.0.${i >> 8}.${i & 255}:80`, pool: 'runners', failureDomain: `domain-${i % 13}`, state: 'live' as const }))
}

function buildWork (i: number): StageWork {
  return { workId: `a/${i}/generate`, account: 'a', pool: 'runners', operation: 'generate', model: 'base', cost: i % 10 === 0 ? 250 : 60, priority: i % 10, deadlineMs: i + 11_000, idempotent: true, prefixHash: `p${i % 5000}` }
}

function sendReports (router: RoutingCore, nowMs: number): void {
  for (let i = 0; i < runners; i++) router.onLoadReport({ upstreamId: `runner-${i}`, running: i % 16, waiting: 0, slots: 32, kvUsed: 0.5, atMs: nowMs }, nowMs)
}

/** Records a refused connection at a quarter of the runners, so that decisions are measured with a long list of slow upstreams. */
function sendRefusals (router: RoutingCore): void {
  const nowMs = decisions * 2
  for (let i = 0; i < runners / 4; i++) {
    const work = { ...buildWork(nowMs), workId: `a/refused-${i}/generate` }
    router.onSent(`runner-${i * 4}`, work, nowMs)
    router.onEnded(`runner-${i * 4}`, work, 'refused', 1, nowMs)
  }
}

/** Calls `run` to warm up, then returns the CPU time of each call of a second, longer pass in microseconds. */
function runCalls (run: (i: number) => void): number {
  for (let i = 0; i < decisions / 4; i++) run(i)
  const before = process.cpuUsage()
  for (let i = decisions / 4; i < decisions * 5 / 4; i++) run(i)
  const used = process.cpuUsage(before)
  return (used.user + used.system) / decisions
}

/** Measures a whole attempt: decision, sending, progress and end. */
function runAttempts (router: RoutingCore): number {
  const running: { readonly id: string, readonly work: StageWork }[] = []
  return runCalls(i => {
    const work = buildWork(i)
    const choice = router.route(work, noExclusions, i)
    if (choice === undefined) return
    router.onSent(choice.upstreamId, work, i)
    running.push({ id: choice.upstreamId, work })
    if (running.length <= inFlight) return
    const ended = running.shift() as { readonly id: string, readonly work: StageWork }
    router.onProgress(ended.id, ended.work, 1, i)
    router.onEnded(ended.id, ended.work, 'completed', inFlight, i)
  })
}

function runRouting (router: RoutingCore): number {
  const works = Array.from({ length: 1000 }, (_, i) => buildWork(decisions * 2 + i))
  return runCalls(i => { router.route(works[i % works.length] as StageWork, noExclusions, decisions * 2 + i / 100) })
}

function runAdmission (router: RoutingCore): number {
  const controller = createAdmissionController({ limiter: { take: () => ({ granted: true, retryAfterMs: 0 }) }, estimator: router, contracts: { find: () => undefined } })
  const names = ['encode', 'retrieve', 'rerank', 'check', 'generate', 'label']
  const stages: readonly StageSpec[] = names.map((name, i) => ({ name, operation: name === 'generate' ? 'generate' : 'call', pool: 'runners', model: name === 'generate' ? 'base' : undefined, after: names.slice(Math.max(0, i - 1), i) }))
  const requests = Array.from({ length: 1000 }, (_, i): AdmissionRequest => ({ requestId: `r${i}`, account: `account-${i % 200}`, kind: 'k', stages, priority: i % 10, idempotent: true, remainingMs: 11_000, tokens: 250 }))
  return runCalls(i => {
    const request = requests[i % requests.length] as AdmissionRequest
    controller.admit(request, decisions * 2 + i / 100)
    controller.onFinished(request, 500, true, decisions * 2 + i / 100)
  })
}

function runSubset (): number {
  const hostIds = Array.from({ length: hosts }, (_, i) => `host-${i}`)
  const upstreamIds = buildUpstreams().map(upstream => upstream.id)
  const before = process.cpuUsage()
  chooseConnectionSubset('host-7', hostIds, upstreamIds, 100)
  const used = process.cpuUsage(before)
  return (used.user + used.system) / 1000
}

/** Returns the bytes of heap in use after a full garbage collection. */
function readHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collect: () => void = runInNewContext('gc')
  collect()
  return process.memoryUsage().heapUsed
}
