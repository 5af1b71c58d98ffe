/** Time constants in milliseconds. */
const waitDecayMs = 300
const rateDecayMs = 400
const peakDecayMs = 10_000
const concurrencyDecayMs = 2000

/**
 * Load of the short or the long work of one pool, as this host sees it through its own attempts. An
 * attempt starts with its first token, or, for a call, shows with its answer that it has been served.
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

  /** Attempts in flight, averaged over the last seconds. */
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

  /** Feeds the time that an attempt spent in queues. */
  observeWait (waitMs: number, nowMs: number): void {
    // Rare samples weigh more, so that the average of a host with few requests is no older.
    const weight = Math.max(0.2, 1 - Math.exp((this.waitUpdatedMs - nowMs) / waitDecayMs))
    this.waitMs += weight * (Math.max(0, waitMs) - this.waitMs)
    this.waitUpdatedMs = nowMs
  }

  /**
   * Wait of work sent now, when a start takes `startMs` without queues. The attempts that have not
   * started over the rate of starts (Little's law) tell the wait of now; the observed wait, which is
   * that of work sent some time ago, bounds it, because the rate says little while demand is low.
   */
  computeWaitMs (startMs: number, nowMs: number): number {
    const quietMs = Math.max(0, nowMs - this.waitUpdatedMs - waitDecayMs)
    const recentMs = this.waitMs * Math.exp(-quietMs / waitDecayMs)
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
