/** Decay time constants. */
const waitDecayMs = 300
const rateDecayMs = 400
const peakDecayMs = 10_000
const concurrencyDecayMs = 2000

/**
 * Load of the short or the long work of one pool, measured by this host's own attempts. A streaming
 * attempt counts as started at its first token, a call at its response.
 */
export class WorkClassLoad {
  private attempts = 0
  private notStarted = 0
  private waitMs = 0
  private waitUpdatedMs = 0
  private startRate = 0
  private startRateUpdatedMs = 0
  private peakStartRate = 0
  private concurrency = 0
  private concurrencyUpdatedMs = 0

  /** Attempts in flight. */
  getAttempts (): number {
    return this.attempts
  }

  /** Exponential moving average of the attempts in flight. */
  computeConcurrency (nowMs: number): number {
    const weight = 1 - Math.exp((this.concurrencyUpdatedMs - nowMs) / concurrencyDecayMs)
    return this.concurrency + weight * (this.attempts - this.concurrency)
  }

  onSent (nowMs: number): void {
    this.updateConcurrency(nowMs)
    this.attempts++
    this.notStarted++
  }

  onStarted (nowMs: number): void {
    this.notStarted = Math.max(0, this.notStarted - 1)
    this.startRate = this.computeStartRate(nowMs) + 1 / rateDecayMs
    this.peakStartRate = Math.max(this.startRate, this.peakStartRate * Math.exp((this.startRateUpdatedMs - nowMs) / peakDecayMs))
    this.startRateUpdatedMs = nowMs
  }

  onEnded (started: boolean, nowMs: number): void {
    this.updateConcurrency(nowMs)
    this.attempts = Math.max(0, this.attempts - 1)
    if (!started) this.notStarted = Math.max(0, this.notStarted - 1)
  }

  /** Records the time that an attempt spent in queues. */
  observeWait (waitMs: number, nowMs: number): void {
    // Infrequent samples have more weight, so that the average of a host with few requests is not outdated.
    const weight = Math.max(0.2, 1 - Math.exp((this.waitUpdatedMs - nowMs) / waitDecayMs))
    this.waitMs += weight * (Math.max(0, waitMs) - this.waitMs)
    this.waitUpdatedMs = nowMs
  }

  /**
   * Predicts the queueing time of work sent now; `startMs` is the time to start without queues. By Little's
   * law the present time to start is the number of attempts not yet started divided by the rate of starts. The
   * rate is unreliable at low demand, so the observed wait, which lags behind, bounds the result.
   */
  computeWaitMs (startMs: number, nowMs: number): number {
    const idleMs = Math.max(0, nowMs - this.waitUpdatedMs - waitDecayMs)
    const recentMs = this.waitMs * Math.exp(-idleMs / waitDecayMs)
    const rate = Math.max(this.computeStartRate(nowMs), 0.8 * this.peakStartRate * Math.exp((this.startRateUpdatedMs - nowMs) / peakDecayMs))
    if (rate === 0) return recentMs
    return Math.max(0, Math.min(this.notStarted / rate - startMs, recentMs * 2.5 + startMs))
  }

  private computeStartRate (nowMs: number): number {
    return this.startRate * Math.exp((this.startRateUpdatedMs - nowMs) / rateDecayMs)
  }

  private updateConcurrency (nowMs: number): void {
    this.concurrency = this.computeConcurrency(nowMs)
    this.concurrencyUpdatedMs = nowMs
  }
}
