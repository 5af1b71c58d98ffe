import { retryConstants } from './constants.js'

/**
 * Budget shared by retries and hedges, in milliseconds of predicted work. Every first attempt adds a
 * share of its cost. A retry or a hedge takes its full cost, so the two together never exceed that
 * share of the work of first attempts.
 */
export class RetryBudget {
  private balanceMs = 0
  private recentWorkMs = 0
  private updatedMs = 0

  /** Records a first attempt with a predicted service time of `workMs`. */
  addWork (workMs: number, nowMs: number): void {
    this.recentWorkMs = this.recentWorkMs * Math.exp((this.updatedMs - nowMs) / retryConstants.recentWorkDecayMs) + workMs
    this.updatedMs = nowMs
    this.balanceMs = Math.min(this.balanceMs + workMs * retryConstants.workShare, this.recentWorkMs * retryConstants.workShare)
  }

  /** Returns the cost of the part of a retry or hedge that was not done when it was cancelled. */
  addUnused (workMs: number): void {
    this.balanceMs += workMs
  }

  admitRetry (workMs: number): boolean {
    return this.take(workMs, 0)
  }

  admitHedge (workMs: number): boolean {
    return this.take(workMs, this.recentWorkMs * retryConstants.workShare * retryConstants.retryReserve)
  }

  /** Whether the budget covers a hedge of `workMs` several times over, so that other hedges remain possible. */
  hasHeadroom (workMs: number): boolean {
    return this.balanceMs - workMs * retryConstants.probeHedgeMultiple >= this.recentWorkMs * retryConstants.workShare * retryConstants.retryReserve
  }

  private take (workMs: number, reserveMs: number): boolean {
    if (this.balanceMs - workMs < reserveMs) return false
    this.balanceMs -= workMs
    return true
  }
}
