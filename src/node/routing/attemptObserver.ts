import { healthConstants } from '../health/constants.js'
import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { AttemptRecord } from './attemptRecord.js'
import type { OperationLatency } from './operationLatency.js'
import type { UpstreamPool } from './upstreamPool.js'
import type { UpstreamView } from './upstreamView.js'

/** Tokens between two samples of a stream's pace. */
const tokensPerSample = 4

/** Derives latency, speed and queueing observations from the course of attempts. */
export class AttemptObserver {
  observeProgress (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationLatency, tokens: number, nowMs: number): void {
    attempt.tokens = tokens
    if (attempt.firstTokenMs === 0) {
      this.observeFirstToken(pool, view, attempt, model, tokens, nowMs)
      return
    }
    const count = tokens - attempt.lastSampleTokens
    const elapsedMs = nowMs - attempt.lastSampleMs
    // A late token is a sample of its own, so that a slowdown shows before several slow tokens have come.
    const late = elapsedMs > 2 * tokensPerSample * model.perCostUnit.getBaseMs()
    if (count < (late ? 1 : tokensPerSample)) return
    const paceMs = elapsedMs / count
    attempt.lastSampleMs = nowMs
    attempt.lastSampleTokens = tokens
    const usual = pool.getMedianLatencyRatio(nowMs)
    view.speed.observeSample(paceMs / model.perCostUnit.getBaseMs(), usual, nowMs)
    this.updateHealth(pool, view, paceMs / model.perCostUnit.getBaseMs() / usual, nowMs)
    if (!view.speed.isSlow()) model.perCostUnit.observeRecent(paceMs)
    model.perCostUnit.observeBase(paceMs, nowMs)
  }

  observeEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationLatency, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void {
    if (outcome === 'completed') {
      view.consecutiveFailures = 0
      if (model.streaming) this.observeStreamEnd(view, attempt, model, elapsedMs)
      else this.observeCallEnd(pool, view, attempt, model, elapsedMs, nowMs)
      return
    }
    if (outcome === 'cancelled') return
    view.consecutiveFailures++
    // A refused connection shows at once that the upstream is down; a failed answer may be the request's fault.
    if (outcome === 'failed' && view.consecutiveFailures < 2) return
    view.speed.setSlow(nowMs)
    pool.addSlow(view)
  }

  private observeFirstToken (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationLatency, tokens: number, nowMs: number): void {
    attempt.firstTokenMs = nowMs
    view.awaitingFirstToken--
    attempt.firstTokenCount = tokens
    attempt.lastSampleMs = nowMs
    attempt.lastSampleTokens = tokens
    const firstMs = Math.max(1, nowMs - attempt.sentMs - (tokens - 1) * model.perCostUnit.getBaseMs())
    model.firstToken.observeBase(firstMs, nowMs)
    const expectedMs = model.firstToken.getBaseMs() + attempt.predictedWaitMs
    model.perCostUnit.observeRatio((nowMs - attempt.sentMs) / (expectedMs + tokens * model.perCostUnit.getBaseMs()))
    pool.getClassLoad(attempt.long).onStarted(nowMs)
    if (!view.speed.isSlow()) pool.getClassLoad(attempt.long).observeWait(firstMs - model.firstToken.getBaseMs(), nowMs)
  }

  private observeStreamEnd (view: UpstreamView, attempt: AttemptRecord, model: OperationLatency, elapsedMs: number): void {
    if (elapsedMs < model.computeServiceMs(attempt.cost) * healthConstants.recoveredRatio) view.speed.onFastResponse()
  }

  private observeCallEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationLatency, elapsedMs: number, nowMs: number): void {
    const usual = pool.getMedianLatencyRatio(nowMs)
    const ratio = elapsedMs / attempt.predictedMs
    attempt.firstTokenMs = nowMs
    pool.getClassLoad(attempt.long).onStarted(nowMs)
    view.speed.observeCall(ratio, usual, nowMs)
    model.perCostUnit.observeBase(elapsedMs / attempt.cost, nowMs)
    model.perCostUnit.observeRatio(ratio)
    if (!view.speed.isSlow()) pool.getClassLoad(attempt.long).observeWait(elapsedMs - model.computeServiceMs(attempt.cost), nowMs)
    this.updateHealth(pool, view, ratio / usual, nowMs)
    if (ratio / usual < healthConstants.recoveredRatio) view.speed.onFastResponse()
  }

  private updateHealth (pool: UpstreamPool, view: UpstreamView, relative: number, nowMs: number): void {
    if (relative < healthConstants.slowRatio) view.lastHealthyMs = nowMs
    if (view.speed.isSlow()) pool.addSlow(view)
  }
}
