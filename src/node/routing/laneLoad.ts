/** Time constants of the averages, in milliseconds. */
const waitDecayMs = 300
const rateDecayMs = 1000

/** Load of the short or the long work of one pool, as this host sees it through its own attempts. */
export class LaneLoad {
  private outstandingMs = 0
  private attempts = 0
  private waitMs = 0
  private waitUpdatedMs = 0
  private rate = 0
  private rateUpdatedMs = 0

  /** Attempts in flight. */
  getAttempts (): number {
    return this.attempts
  }

  onSent (serviceMs: number): void {
    this.attempts++
    this.outstandingMs += serviceMs
  }

  onEnded (serviceMs: number, completed: boolean, nowMs: number): void {
    this.attempts = Math.max(0, this.attempts - 1)
    this.outstandingMs = this.attempts === 0 ? 0 : Math.max(0, this.outstandingMs - serviceMs)
    if (!completed) return
    this.rate = this.computeRate(nowMs) + serviceMs / rateDecayMs
    this.rateUpdatedMs = nowMs
  }

  /** Feeds the time that an attempt spent in queues. */
  observeWait (waitMs: number, nowMs: number): void {
    this.waitMs += 0.2 * (Math.max(0, waitMs) - this.waitMs)
    this.waitUpdatedMs = nowMs
  }

  /**
   * Wait of work sent now. Once queues have formed, outstanding work over the rate of completion
   * (Little's law) tells the wait of now, while the observed wait is that of work sent some time ago.
   */
  computeWaitMs (serviceMs: number, nowMs: number): number {
    const recentMs = this.waitMs * Math.exp((this.waitUpdatedMs - nowMs) / waitDecayMs)
    if (recentMs < serviceMs * 0.5) return recentMs
    const drainMs = this.outstandingMs / Math.max(this.computeRate(nowMs), 0.01) - serviceMs
    return Math.max(recentMs, Math.min(drainMs, recentMs * 4))
  }

  private computeRate (nowMs: number): number {
    return this.rate * Math.exp((this.rateUpdatedMs - nowMs) / rateDecayMs)
  }
}
