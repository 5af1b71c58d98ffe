import { capacityConstants } from './constants.js'

/** Requests that were refused, until some time after they were told to come again. */
export class RefusedRequests {
  /** Times until which they count, by digest, in the order of their refusals. */
  private readonly expiries = new Map<string, number>()

  get isEmpty (): boolean {
    return this.expiries.size === 0
  }

  has (digest: string, nowMs: number): boolean {
    return nowMs <= (this.expiries.get(digest) ?? -Infinity)
  }

  add (digest: string, retryAfterMs: number, nowMs: number): void {
    this.removeExpired(nowMs)
    this.expiries.delete(digest)
    this.expiries.set(digest, nowMs + retryAfterMs + capacityConstants.returnMarginMs)
  }

  /** Forgets requests whose time is over, up to the first one that still counts, and the oldest beyond the limit. */
  removeExpired (nowMs: number): void {
    for (const [digest, expiresAtMs] of this.expiries) {
      if (expiresAtMs >= nowMs && this.expiries.size < capacityConstants.maxRefusedRequests) return
      this.expiries.delete(digest)
    }
  }
}
