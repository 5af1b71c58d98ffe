const burstSeconds = 0.5

/** Token bucket with a burst of half a second of its rate, at least one call. */
export class RateLimiter {
  private tokens: number
  private lastMs: number

  constructor (private readonly perSecond: number, nowMs: number) {
    this.tokens = this.computeBurst()
    this.lastMs = nowMs
  }

  /** Takes one token; false if the rate is exceeded. */
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
