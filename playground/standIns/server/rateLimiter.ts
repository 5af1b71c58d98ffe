const burstSeconds = 0.5

/** Token bucket that holds half a second of its rate. */
export class RateLimiter {
  private tokens: number
  private lastMs: number

  constructor (private readonly perSecond: number, nowMs: number) {
    this.tokens = this.computeBurst()
    this.lastMs = nowMs
  }

  /** Takes one call of the rate; false when the rate is exceeded. */
  takeCall (nowMs: number): boolean {
    this.tokens = Math.min(this.computeBurst(), this.tokens + (nowMs - this.lastMs) / 1000 * this.perSecond)
    this.lastMs = nowMs
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private computeBurst (): number {
    return Math.max(1, this.perSecond * burstSeconds)
  }
}
