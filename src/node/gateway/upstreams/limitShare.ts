/** Requests that may be sent at once after a pause: a share of a small limit is less than one request a second. */
const maxTokens = 1

/**
 * This host's share of the requests that an upstream takes from all hosts together, as a token bucket. It starts empty,
 * so that hosts that learn of the limit at the same time do not send one request each at once.
 */
export class LimitShare {
  private tokens = 0

  /** `requestsPerSecond` is 0 when other hosts have the whole limit. */
  constructor (private requestsPerSecond: number, private updatedAtMs: number) {}

  setRate (requestsPerSecond: number, nowMs: number): void {
    this.addTokens(nowMs)
    this.requestsPerSecond = requestsPerSecond
  }

  /** Time until a request may be sent; 0 when it may be sent now, infinite without a share. */
  computeWaitMs (nowMs: number): number {
    this.addTokens(nowMs)
    if (this.tokens >= 1) return 0
    return this.requestsPerSecond === 0 ? Infinity : (1 - this.tokens) / this.requestsPerSecond * 1000
  }

  takeToken (nowMs: number): void {
    this.addTokens(nowMs)
    this.tokens--
  }

  /** Returns the token of a request that was not sent. */
  releaseToken (): void {
    this.tokens = Math.min(this.tokens + 1, maxTokens)
  }

  private addTokens (nowMs: number): void {
    this.tokens = Math.min(this.tokens + (nowMs - this.updatedAtMs) / 1000 * this.requestsPerSecond, maxTokens)
    this.updatedAtMs = nowMs
  }
}
