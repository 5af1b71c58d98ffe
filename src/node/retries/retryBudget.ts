import { retryConstants } from './constants.js'

/**
 * One budget for retries and hedges, in milliseconds of predicted work. Every first attempt adds its
 * share; a repeated attempt takes its full cost, so the sum never exceeds the share of the work sent.
 */
export class RetryBudget {
  private balanceMs = 0
  private recentWorkMs = 0
  private updatedMs = 0

  /** Records a first attempt of `workMs` predicted milliseconds. */
  addWork (workMs: number, nowMs: number): void {
    this.recentWorkMs = this.recentWorkMs * Math.exp((this.updatedMs - nowMs) / retryConstants.recentWorkDecayMs) + workMs
    this.updatedMs = nowMs
    this.balanceMs = Math.min(this.balanceMs + workMs * retryConstants.workShare, this.recentWorkMs * retryConstants.workShare)
  }

  /** Returns the part of a repeated attempt that was cancelled before it was done. */
  addUnused (workMs: number): void {
    this.balanceMs += workMs
  }

  admitRetry (workMs: number): boolean {
    return this.take(workMs, 0)
  }

  admitHedge (workMs: number): boolean {
    return this.take(workMs, this.recentWorkMs * retryConstants.workShare * retryConstants.retryReserve)
  }

  /** Whether the budget has room for a hedge of `workMs` and leaves some for others. */
  hasHeadroom (workMs: number): boolean {
    return this.balanceMs - workMs * retryConstants.probeHedgeMultiple >= this.recentWorkMs * retryConstants.workShare * retryConstants.retryReserve
  }

  private take (workMs: number, reserveMs: number): boolean {
    if (this.balanceMs - workMs < reserveMs) return false
    this.balanceMs -= workMs
    return true
  }
}
