import { healthConstants } from '../health/constants.js'
import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { AttemptRecord } from './attemptRecord.js'
import type { OperationModel } from './operationModel.js'
import type { UpstreamPool } from './upstreamPool.js'
import type { UpstreamView } from './upstreamView.js'

/** Tokens between two samples of a stream's pace. */
const tokensPerSample = 4

/** Derives latency, speed and queueing observations from the course of attempts. */
export class AttemptObserver {
  observeProgress (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationModel, tokens: number, nowMs: number): void {
    attempt.tokens = tokens
    if (attempt.firstMs === 0) {
      this.observeFirst(pool, view, attempt, model, tokens, nowMs)
      return
    }
    const count = tokens - attempt.sampledTokens
    const elapsedMs = nowMs - attempt.sampledMs
    // A late token is a sample of its own, so that a slowdown shows before several slow tokens have come.
    const late = elapsedMs > 2 * tokensPerSample * model.perCost.getBaseMs()
    if (count < (late ? 1 : tokensPerSample)) return
    const paceMs = elapsedMs / count
    attempt.sampledMs = nowMs
    attempt.sampledTokens = tokens
    const usual = pool.getUsualRatio(nowMs)
    view.speed.observeRate(paceMs / model.perCost.getBaseMs(), usual, nowMs)
    this.updateHealth(pool, view, paceMs / model.perCost.getBaseMs() / usual, nowMs)
    if (!view.speed.isSlow()) model.perCost.observeRecent(paceMs)
    model.perCost.observeBase(paceMs, nowMs)
  }

  observeEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationModel, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void {
    if (outcome === 'completed') {
      view.failuresInRow = 0
      if (model.streaming) this.observeStreamEnd(view, attempt, model, elapsedMs)
      else this.observeCallEnd(pool, view, attempt, model, elapsedMs, nowMs)
      return
    }
    if (outcome === 'cancelled') return
    view.failuresInRow++
    // A refused connection shows at once that the upstream is down; a failed answer may be the request's fault.
    if (outcome === 'failed' && view.failuresInRow < 2) return
    view.speed.setSlow(nowMs)
    pool.addSlow(view)
  }

  private observeFirst (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationModel, tokens: number, nowMs: number): void {
    attempt.firstMs = nowMs
    view.waiting--
    attempt.firstTokens = tokens
    attempt.sampledMs = nowMs
    attempt.sampledTokens = tokens
    const firstMs = Math.max(1, nowMs - attempt.sentMs - (tokens - 1) * model.perCost.getBaseMs())
    model.first.observeBase(firstMs, nowMs)
    const expectedMs = model.first.getBaseMs() + attempt.waitMs
    model.perCost.observeTail((nowMs - attempt.sentMs) / (expectedMs + tokens * model.perCost.getBaseMs()))
    pool.getLane(attempt.long).onStarted(nowMs)
    if (!view.speed.isSlow()) pool.getLane(attempt.long).observeWait(firstMs - model.first.getBaseMs(), nowMs)
  }

  private observeStreamEnd (view: UpstreamView, attempt: AttemptRecord, model: OperationModel, elapsedMs: number): void {
    if (elapsedMs < model.computeServiceMs(attempt.cost) * healthConstants.recoveredRatio) view.speed.onGoodAnswer()
  }

  private observeCallEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, model: OperationModel, elapsedMs: number, nowMs: number): void {
    const usual = pool.getUsualRatio(nowMs)
    const ratio = elapsedMs / attempt.predictedMs
    attempt.firstMs = nowMs
    pool.getLane(attempt.long).onStarted(nowMs)
    view.speed.observeCall(ratio, usual, nowMs)
    model.perCost.observeBase(elapsedMs / attempt.cost, nowMs)
    model.perCost.observeTail(ratio)
    if (!view.speed.isSlow()) pool.getLane(attempt.long).observeWait(elapsedMs - model.computeServiceMs(attempt.cost), nowMs)
    this.updateHealth(pool, view, ratio / usual, nowMs)
    if (ratio / usual < healthConstants.recoveredRatio) view.speed.onGoodAnswer()
  }

  private updateHealth (pool: UpstreamPool, view: UpstreamView, relative: number, nowMs: number): void {
    if (relative < healthConstants.slowRatio) view.healthyMs = nowMs
    if (view.speed.isSlow()) pool.addSlow(view)
  }
}
