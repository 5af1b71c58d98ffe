import { upstreamConstants } from './constants.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
import type { UpstreamPool } from './upstreamPool.js'

/** An upstream with what this host has seen of it. Mutable; owned by the directory. */
export class UpstreamState {
  /** Requests of this host in progress. */
  inFlight = 0
  /** Average time to the answer, or to the first event of a stream; 0 before the first one. */
  private durationMs = 0
  private measuredAtMs = 0
  ejectedUntilMs = 0
  /** Set while the entry is missing after an outage of the store; the upstream is removed at this time. */
  removeAtMs: number | undefined
  private failures = 0
  private ejections = 0

  constructor (public entry: UpstreamEntry, readonly pool: UpstreamPool) {}

  isEjected (nowMs: number): boolean {
    return this.ejectedUntilMs > nowMs
  }

  /** The average, which loses weight when nothing is measured, so that an upstream that was slow is tried again. */
  computeDurationMs (nowMs: number): number {
    return this.durationMs * 0.5 ** ((nowMs - this.measuredAtMs) / upstreamConstants.durationHalfLifeMs)
  }

  onSuccess (durationMs: number, nowMs: number): void {
    this.failures = 0
    this.ejections = 0
    this.measuredAtMs = nowMs
    this.durationMs = this.durationMs === 0 ? durationMs : this.durationMs + upstreamConstants.durationWeight * (durationMs - this.durationMs)
  }

  /** Returns whether the upstream is set aside by this failure. */
  onFailure (nowMs: number): boolean {
    this.failures++
    if (this.failures < upstreamConstants.failuresToEject) return false
    this.failures = 0
    this.ejectedUntilMs = nowMs + Math.min(upstreamConstants.ejectMs * 2 ** this.ejections, upstreamConstants.maxEjectMs)
    this.ejections++
    return true
  }
}
