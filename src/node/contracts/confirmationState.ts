import { contractConstants } from './constants.js'

/**
 * When the contracts of this host were last known to be those of the key-value service. Pure; times are
 * local and monotonic.
 */
export class ConfirmationState {
  private confirmedAtMs = -Infinity
  private lastPeriodMs = -Infinity
  private ignoreHeartbeatsUntilMs = -Infinity

  /** Called once in each period of the digest exchange; a long pause means that the process was frozen. */
  observePeriod (nowMs: number): void {
    this.checkForFreeze(nowMs)
    this.lastPeriodMs = nowMs
  }

  /** A heartbeat of a watch. Those that waited in the socket of a frozen process prove nothing. */
  onHeartbeat (nowMs: number): void {
    this.checkForFreeze(nowMs)
    if (nowMs >= this.ignoreHeartbeatsUntilMs) this.onConfirmed(nowMs)
  }

  /** The contracts agreed with the service at `atMs` at the earliest. */
  onConfirmed (atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs)
  }

  /** Age in milliseconds; -1 when the contracts were never confirmed. */
  computeAgeMs (nowMs: number): number {
    return this.confirmedAtMs === -Infinity ? -1 : Math.max(0, nowMs - this.confirmedAtMs)
  }

  isConfirmed (nowMs: number): boolean {
    return nowMs - this.confirmedAtMs <= contractConstants.unconfirmedAfterMs
  }

  private checkForFreeze (nowMs: number): void {
    const isResumed = this.lastPeriodMs !== -Infinity && nowMs - this.lastPeriodMs > contractConstants.freezeThresholdMs
    if (!isResumed) return
    this.lastPeriodMs = nowMs
    this.ignoreHeartbeatsUntilMs = nowMs + contractConstants.staleHeartbeatWindowMs
  }
}
