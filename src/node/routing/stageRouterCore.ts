import { RetryBudget } from '../retries/retryBudget.js'
import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { LoadReport } from '../../types/loadReport.js'
import type { Random } from '../../types/random.js'
import type { RoutingCore } from '../../types/routingCore.js'
import type { RoutingOptions } from '../../types/routingOptions.js'
import type { StageOperation } from '../../types/stageOperation.js'
import type { StageWork } from '../../types/stageWork.js'
import type { Upstream } from '../../types/upstream.js'
import type { UpstreamChoice } from '../../types/upstreamChoice.js'
import type { AttemptRecord } from './attemptRecord.js'
import type { Candidate } from './candidate.js'
import { AttemptObserver } from './attemptObserver.js'
import { routingConstants } from './constants.js'
import type { OperationLatency } from './operationLatency.js'
import { UpstreamChooser } from './upstreamChooser.js'
import { UpstreamTable } from './upstreamTable.js'
import type { UpstreamView } from './upstreamView.js'
import type { UpstreamPool } from './upstreamPool.js'
import { WorkTable } from './workTable.js'

/** An attempt that has received tokens is hedged only if its predicted remaining time is at least this multiple of the service time of a new one. */
const minHedgeSpeedup = 1.5

/** Added to the token count of a stream, so that the time since its last token does not look like a slowdown. */
const paceSmoothingTokens = 4

/** Implementation of the routing core; see `createStageRouter`. */
export class StageRouterCore implements RoutingCore {
  private readonly table: UpstreamTable
  private readonly chooser: UpstreamChooser
  private readonly observer = new AttemptObserver()
  private readonly budget = new RetryBudget()
  private readonly workTable = new WorkTable()
  private readonly wallOffsetMs: number
  private readonly countHosts: () => number
  private readonly random: Random
  private readonly onPaused: (upstream: Upstream, pauseMs: number) => void

  constructor (options: RoutingOptions) {
    this.random = options.random
    this.table = new UpstreamTable(options.random)
    this.countHosts = options.countHosts ?? (() => 1)
    this.onPaused = options.onPaused ?? (() => {})
    this.wallOffsetMs = options.wallOffsetMs ?? 0
    this.chooser = new UpstreamChooser(options.random, this.countHosts)
  }

  applyUpstreams (upstreams: readonly Upstream[], nowMs: number): void {
    this.table.applyUpstreams(upstreams, nowMs)
  }

  route (work: StageWork, excluded: ReadonlySet<string>, nowMs: number): UpstreamChoice | undefined {
    const pool = this.table.findPool(work.pool)
    if (pool === undefined || pool.selectable.length === 0) return undefined
    const latency = pool.getOperationLatency(work.operation, work.model)
    const long = isLong(latency, work)
    if (long && isDeadlineUnreachable(latency, work, nowMs)) return undefined
    if (long && pool.longLoad.getAttempts() >= pool.computeLongAttemptLimit(this.countHosts(), nowMs)) {
      pool.deferred.add(work.workId, latency.computeServiceMs(work.cost), work.deadlineMs)
      return undefined
    }
    // Only short work probes slow upstreams.
    const probe = long ? undefined : this.chooseProbe(pool, latency, work, excluded, nowMs)
    if (probe !== undefined) return buildProbe(probe, latency, work)
    const chosen = this.chooser.choose(pool, latency, work, long, excluded, nowMs)
    if (long && chosen === undefined) pool.deferred.add(work.workId, latency.computeServiceMs(work.cost), work.deadlineMs)
    return chosen && buildChoice(chosen, latency, work, long)
  }

  computePauseMs (poolName: string, nowMs: number): number | undefined {
    const views = this.table.findPool(poolName)?.selectable ?? []
    if (views.length === 0 || views.some(view => !view.isPaused(nowMs))) return undefined
    return Math.max(Math.min(...views.map(view => view.protocolPause.untilMs)) - nowMs, 0)
  }

  onSent (upstreamId: string, work: StageWork, nowMs: number): void {
    const view = this.table.find(upstreamId)
    const pool = this.table.findPool(work.pool)
    if (view === undefined || pool === undefined) return
    const latency = pool.getOperationLatency(work.operation, work.model)
    const long = isLong(latency, work)
    const serviceMs = latency.computeServiceMs(work.cost)
    const candidate = this.chooser.computeCandidate(pool, latency, work, view, nowMs)
    const predictedMs = serviceMs + candidate.waitMs
    const budgetTakenMs = this.workTable.onSent(work.workId, view)
    if (budgetTakenMs === undefined) this.budget.addWork(serviceMs, nowMs)
    view.addAttempt(work.workId, createAttemptRecord(work, long, predictedMs, candidate.waitMs, budgetTakenMs ?? 0, nowMs), nowMs)
    pool.deferred.remove(work.workId)
    pool.getClassLoad(long).onSent(nowMs)
    pool.observeServiceTime(serviceMs)
    if (work.prefixHash !== undefined && latency.streaming) pool.prefixes.add(work.prefixHash, upstreamId)
  }

  onProgress (upstreamId: string, work: StageWork, tokens: number, nowMs: number): void {
    const view = this.table.find(upstreamId)
    const pool = this.table.findPool(work.pool)
    const attempt = view?.attempts.get(work.workId)
    if (view === undefined || pool === undefined || attempt === undefined) return
    this.observer.observeProgress(pool, view, attempt, pool.getOperationLatency(work.operation, work.model), tokens, nowMs)
  }

  onEnded (upstreamId: string, work: StageWork, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void {
    const view = this.workTable.find(work.workId, upstreamId)
    const pool = this.table.findPool(work.pool)
    const attempt = view?.takeAttempt(work.workId, nowMs)
    if (view === undefined || pool === undefined || attempt === undefined) return
    this.workTable.onEnded(work.workId, view, outcome)
    const latency = pool.getOperationLatency(work.operation, work.model)
    if (outcome === 'cancelled') this.budget.addUnused(attempt.budgetTakenMs * computeRemainingShare(attempt, latency, elapsedMs))
    this.updatePause(view, outcome, nowMs)
    this.observer.observeEnd(pool, view, attempt, latency, outcome, elapsedMs, nowMs)
    pool.getClassLoad(attempt.long).onEnded(attempt.firstTokenMs > 0, nowMs)
    this.table.removeIfGone(view)
  }

  onLoadReport (report: LoadReport, nowMs: number): void {
    const view = this.table.find(report.upstreamId)
    if (view === undefined) return
    const otherHostsLoad = view.applyLoadReport(report, report.atMs - this.wallOffsetMs, nowMs)
    this.table.findPool(view.upstream.pool)?.observeOtherHostsLoad(otherHostsLoad)
  }

  onCacheEvent (upstreamId: string, type: 'stored' | 'evicted' | 'gap', prefixHash: string): void {
    const view = this.table.find(upstreamId)
    const prefixes = view && this.table.findPool(view.upstream.pool)?.prefixes
    if (prefixes === undefined) return
    if (type === 'stored') prefixes.add(prefixHash, upstreamId)
    else if (type === 'evicted') prefixes.remove(prefixHash, upstreamId)
    else prefixes.removeUpstream(upstreamId)
  }

  onLeaving (upstreamId: string, nowMs: number): void {
    this.table.onLeaving(upstreamId, nowMs)
  }

  admitRetry (work: StageWork): boolean {
    const wasRefused = this.workTable.takeRefused(work.workId)
    const workMs = wasRefused ? 0 : this.computeWorkMs(work)
    if (!wasRefused && !this.budget.admitRetry(workMs)) return false
    this.workTable.addExtraAttempt(work.workId, workMs)
    return true
  }

  admitHedge (work: StageWork, nowMs: number): boolean {
    if (!work.idempotent || !this.isHedgeUseful(work, nowMs)) return false
    const workMs = this.computeWorkMs(work)
    if (!this.budget.admitHedge(workMs)) return false
    this.workTable.addExtraAttempt(work.workId, workMs)
    return true
  }

  computeStageMs (poolName: string, operation: StageOperation, modelName: string | undefined, cost: number, nowMs: number): { readonly serviceMs: number, readonly waitMs: number } {
    const pool = this.table.findPool(poolName)
    if (pool === undefined) return { serviceMs: 0, waitMs: 0 }
    const latency = pool.getOperationLatency(operation, modelName)
    const serviceMs = latency.computeLoadedServiceMs(cost)
    const startMs = latency.streaming ? latency.firstToken.getBaseMs() : serviceMs
    if (latency.computeServiceMs(cost) < routingConstants.longWorkMs) return { serviceMs, waitMs: pool.shortLoad.computeWaitMs(startMs, nowMs) }
    const limit = pool.computeLongAttemptLimit(this.countHosts(), nowMs)
    return { serviceMs, waitMs: pool.longLoad.computeWaitMs(startMs, nowMs) + pool.deferred.computeServiceMs(nowMs) / limit }
  }

  private updatePause (view: UpstreamView, outcome: AttemptOutcome, nowMs: number): void {
    if (outcome === 'completed') view.protocolPause.onWholeAnswer(nowMs)
    if (outcome !== 'invalid') return
    const pauseMs = view.protocolPause.onProtocolError(nowMs)
    if (pauseMs !== undefined) this.onPaused(view.upstream, pauseMs)
  }

  private computeWorkMs (work: StageWork): number {
    return this.table.findPool(work.pool)?.getOperationLatency(work.operation, work.model).computeServiceMs(work.cost) ?? 0
  }

  /** Finds a slow upstream to probe with short idempotent work whose deadline leaves time for a hedge. */
  private chooseProbe (pool: UpstreamPool, latency: OperationLatency, work: StageWork, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    if (!work.idempotent || work.deadlineMs - nowMs < latency.computeServiceMs(work.cost) * 2.5) return undefined
    const slowViews = pool.listSlow(nowMs)
    if (slowViews.length === 0) return undefined
    const isHedgeBudgeted = this.budget.hasHeadroom(latency.computeServiceMs(work.cost))
    const isDue = (slow: UpstreamView): boolean => {
      const isFree = slow.isSelectable() && !slow.isPaused(nowMs) && slow.attempts.size === 0
      return isFree && slow.speed.isProbeDue(isHedgeBudgeted, nowMs) && !excluded.has(slow.upstream.id)
    }
    const view = this.findSampled(slowViews, isDue)
    if (view === undefined) return undefined
    view.speed.onProbeSent(nowMs)
    return this.chooser.computeCandidate(pool, latency, work, view, nowMs)
  }

  /** Checks only a few views from a random position, so that the cost of a decision does not grow with the list. */
  private findSampled (views: readonly UpstreamView[], matches: (view: UpstreamView) => boolean): UpstreamView | undefined {
    const start = Math.floor(this.random() * views.length)
    const count = Math.min(views.length, routingConstants.sampledCandidates)
    for (let i = 0; i < count; i++) {
      const view = views[(start + i) % views.length] as UpstreamView
      if (matches(view)) return view
    }
    return undefined
  }

  /** Whether the work has at most one running attempt and that attempt is predicted to end later than a hedge. */
  private isHedgeUseful (work: StageWork, nowMs: number): boolean {
    const pool = this.table.findPool(work.pool)
    const views = this.workTable.list(work.workId)
    if (pool === undefined || views.length > 1) return false
    const latency = pool.getOperationLatency(work.operation, work.model)
    return !views.some(view => this.isFasterThanHedge(view, work, latency, nowMs))
  }

  /** Whether the running attempt is predicted to end sooner than a new one, with the margin `minHedgeSpeedup`. */
  private isFasterThanHedge (view: UpstreamView, work: StageWork, latency: OperationLatency, nowMs: number): boolean {
    const attempt = view.attempts.get(work.workId)
    if (attempt === undefined || attempt.tokens === 0) return false
    const meanMsPerToken = (nowMs - attempt.firstTokenMs) / (attempt.tokens - attempt.firstTokenCount + paceSmoothingTokens)
    const msPerToken = Math.max(meanMsPerToken, latency.perCostUnit.getBaseMs() * view.speed.getLatencyRatio())
    return msPerToken * Math.max(0, work.cost - attempt.tokens) < latency.computeServiceMs(work.cost) * minHedgeSpeedup
  }
}

/** Share of the work that a cancelled attempt had not done. */
function computeRemainingShare (attempt: AttemptRecord, latency: OperationLatency, elapsedMs: number): number {
  const done = latency.streaming ? attempt.tokens / attempt.cost : elapsedMs / Math.max(latency.computeServiceMs(attempt.cost), 0.01)
  return Math.max(0, 1 - done)
}

function isLong (latency: OperationLatency, work: StageWork): boolean {
  return latency.computeServiceMs(work.cost) >= routingConstants.longWorkMs
}

/** Whether work would miss its deadline even at an idle upstream; it would only take slots from other work. */
function isDeadlineUnreachable (latency: OperationLatency, work: StageWork, nowMs: number): boolean {
  return nowMs + latency.computeServiceMs(work.cost) > work.deadlineMs
}

function createAttemptRecord (work: StageWork, long: boolean, predictedMs: number, waitMs: number, budgetTakenMs: number, nowMs: number): AttemptRecord {
  return { sentMs: nowMs, cost: work.cost, long, predictedMs, predictedWaitMs: waitMs, budgetTakenMs, firstTokenMs: 0, firstTokenCount: 0, lastSampleMs: 0, lastSampleTokens: 0, tokens: 0 }
}

/** The probe is hedged after 1.5 times the usual time to the second token of a stream or to the response of a call. */
function buildProbe (probe: Candidate, latency: OperationLatency, work: StageWork): UpstreamChoice {
  const hedgeAfterMs = latency.streaming ? latency.computeServiceMs(2) * 1.5 : latency.computeServiceMs(work.cost) * 1.5
  return { upstreamId: probe.view.upstream.id, predictedMs: probe.serviceMs + probe.waitMs, hedgeAfterMs }
}

/**
 * Only short idempotent work is hedged: after the 99th percentile of the latency to the fourth token of a stream, or to
 * the response of a call.
 */
function buildChoice (chosen: Candidate, latency: OperationLatency, work: StageWork, long: boolean): UpstreamChoice {
  const predictedMs = chosen.serviceMs + chosen.waitMs
  const upstreamId = chosen.view.upstream.id
  if (!work.idempotent || long) return { upstreamId, predictedMs }
  const hedgedMs = latency.streaming ? latency.computeServiceMs(4) + chosen.waitMs : predictedMs
  return { upstreamId, predictedMs, hedgeAfterMs: hedgedMs * latency.perCostUnit.getP99Ratio() }
}
