import { contractConstants } from './constants.js'

/**
 * Tracks when the contracts of this host were last known to match the key-value service. Does no I/O; all times are
 * read from the local monotonic clock.
 */
export class ConfirmationState {
  private confirmedAtMs = -Infinity
  private lastPeriodMs = -Infinity
  private ignoreHeartbeatsUntilMs = -Infinity

  /** Must be called once per digest exchange period; a longer pause means that the process was frozen. */
  observePeriod (nowMs: number): void {
    this.checkForFreeze(nowMs)
    this.lastPeriodMs = nowMs
  }

  /** Handles a heartbeat of a watch. Heartbeats that were buffered in the socket during a freeze are ignored: they are out of date. */
  onHeartbeat (nowMs: number): void {
    this.checkForFreeze(nowMs)
    if (nowMs >= this.ignoreHeartbeatsUntilMs) this.onConfirmed(nowMs)
  }

  /** Records that the contracts matched the service at `atMs` or later. */
  onConfirmed (atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs)
  }

  /** Milliseconds since the last confirmation; -1 if the contracts were never confirmed. */
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
