import { healthConstants } from '../health/constants.js'
import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { AttemptRecord } from './attemptRecord.js'
import type { OperationLatency } from './operationLatency.js'
import type { UpstreamPool } from './upstreamPool.js'
import type { UpstreamView } from './upstreamView.js'

/** Tokens between two samples of a stream's time per token. */
const tokensPerSample = 4

/** Derives observations of latency, upstream speed and queueing time from the progress and end of attempts. */
export class AttemptObserver {
  observeProgress (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, latency: OperationLatency, tokens: number, nowMs: number): void {
    attempt.tokens = tokens
    if (attempt.firstTokenMs === 0) {
      this.observeFirstToken(pool, view, attempt, latency, tokens, nowMs)
      return
    }
    const count = tokens - attempt.lastSampleTokens
    const elapsedMs = nowMs - attempt.lastSampleMs
    // A late token is sampled on its own, so that a slowdown is detected before several slow tokens have arrived.
    const isLate = elapsedMs > 2 * tokensPerSample * latency.perCostUnit.getBaseMs()
    if (count < (isLate ? 1 : tokensPerSample)) return
    const msPerToken = elapsedMs / count
    attempt.lastSampleMs = nowMs
    attempt.lastSampleTokens = tokens
    const medianRatio = pool.getMedianLatencyRatio(nowMs)
    view.speed.observeSample(msPerToken / latency.perCostUnit.getBaseMs(), medianRatio, nowMs)
    this.updateHealth(pool, view, msPerToken / latency.perCostUnit.getBaseMs() / medianRatio, nowMs)
    if (!view.speed.isSlow()) latency.perCostUnit.observeRecent(msPerToken)
    latency.perCostUnit.observeBase(msPerToken, nowMs)
  }

  observeEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, latency: OperationLatency, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void {
    if (outcome === 'completed') {
      view.consecutiveFailures = 0
      if (latency.streaming) this.observeStreamEnd(view, attempt, latency, elapsedMs)
      else this.observeCallEnd(pool, view, attempt, latency, elapsedMs, nowMs)
      return
    }
    if (outcome === 'cancelled') return
    view.consecutiveFailures++
    // A refused attempt shows at once that the upstream is unavailable. A single failure may be caused by the request.
    if (outcome !== 'refused' && view.consecutiveFailures < 2) return
    view.speed.setSlow(nowMs)
    pool.addSlow(view)
  }

  private observeFirstToken (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, latency: OperationLatency, tokens: number, nowMs: number): void {
    attempt.firstTokenMs = nowMs
    view.awaitingFirstToken--
    attempt.firstTokenCount = tokens
    attempt.lastSampleMs = nowMs
    attempt.lastSampleTokens = tokens
    const firstTokenLatencyMs = Math.max(1, nowMs - attempt.sentMs - (tokens - 1) * latency.perCostUnit.getBaseMs())
    latency.firstToken.observeBase(firstTokenLatencyMs, nowMs)
    const expectedMs = latency.firstToken.getBaseMs() + attempt.predictedWaitMs
    latency.perCostUnit.observeRatio((nowMs - attempt.sentMs) / (expectedMs + tokens * latency.perCostUnit.getBaseMs()))
    pool.getClassLoad(attempt.long).onStarted(nowMs)
    if (!view.speed.isSlow()) pool.getClassLoad(attempt.long).observeWait(firstTokenLatencyMs - latency.firstToken.getBaseMs(), nowMs)
  }

  private observeStreamEnd (view: UpstreamView, attempt: AttemptRecord, latency: OperationLatency, elapsedMs: number): void {
    if (elapsedMs < latency.computeServiceMs(attempt.cost) * healthConstants.recoveredRatio) view.speed.onFastResponse()
  }

  private observeCallEnd (pool: UpstreamPool, view: UpstreamView, attempt: AttemptRecord, latency: OperationLatency, elapsedMs: number, nowMs: number): void {
    const medianRatio = pool.getMedianLatencyRatio(nowMs)
    const ratio = elapsedMs / attempt.predictedMs
    attempt.firstTokenMs = nowMs
    pool.getClassLoad(attempt.long).onStarted(nowMs)
    view.speed.observeCall(ratio, medianRatio, nowMs)
    latency.perCostUnit.observeBase(elapsedMs / attempt.cost, nowMs)
    latency.perCostUnit.observeRatio(ratio)
    if (!view.speed.isSlow()) pool.getClassLoad(attempt.long).observeWait(elapsedMs - latency.computeServiceMs(attempt.cost), nowMs)
    this.updateHealth(pool, view, ratio / medianRatio, nowMs)
    if (ratio / medianRatio < healthConstants.recoveredRatio) view.speed.onFastResponse()
  }

  private updateHealth (pool: UpstreamPool, view: UpstreamView, relativeRatio: number, nowMs: number): void {
    if (relativeRatio < healthConstants.slowRatio) view.lastHealthyMs = nowMs
    if (view.speed.isSlow()) pool.addSlow(view)
  }
}
