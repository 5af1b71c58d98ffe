import { retryConstants } from './constants.js'

/**
 * One budget for retries and hedges, in milliseconds of predicted work. Every first attempt adds its
 * share; a repeated attempt takes its full cost, so the sum never exceeds the share of the work sent.
 */
export class RepeatBudget {
  private balance = 0
  private recentWork = 0
  private updatedMs = 0

  /** Records a first attempt of `workMs` predicted milliseconds. */
  addWork (workMs: number, nowMs: number): void {
    this.recentWork = this.recentWork * Math.exp((this.updatedMs - nowMs) / retryConstants.keepMs) + workMs
    this.updatedMs = nowMs
    this.balance = Math.min(this.balance + workMs * retryConstants.share, this.recentWork * retryConstants.share)
  }

  /** Returns the part of a repeated attempt that was cancelled before it was done. */
  addUnused (workMs: number): void {
    this.balance += workMs
  }

  admitRetry (workMs: number): boolean {
    return this.take(workMs, 0)
  }

  admitHedge (workMs: number): boolean {
    return this.take(workMs, this.recentWork * retryConstants.share * retryConstants.retryReserve)
  }

  /** Whether the budget has room for a hedge of `workMs` and leaves some for others. */
  hasSpare (workMs: number): boolean {
    return this.balance - workMs * retryConstants.probeSpare >= this.recentWork * retryConstants.share * retryConstants.retryReserve
  }

  private take (workMs: number, reserve: number): boolean {
    if (this.balance - workMs < reserve) return false
    this.balance -= workMs
    return true
  }
}
