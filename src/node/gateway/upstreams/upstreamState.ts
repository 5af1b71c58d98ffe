import { ProtocolErrorPause } from './protocolErrorPause.js'
import { UpstreamBackoff } from './upstreamBackoff.js'
import { upstreamConstants } from './constants.js'
import type { UpstreamLimit } from './upstreamLimit.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
import type { UpstreamPool } from './upstreamPool.js'

/** An upstream with what this host has measured of it. Mutable; owned by the directory. */
export class UpstreamState {
  private inFlightCount = 0
  /** Moving average of the time to the response, or to the first event of a stream; 0 before the first one. */
  private durationMs = 0
  private measuredAtMs = 0
  ejectedUntilMs = 0
  readonly backoff: UpstreamBackoff
  readonly protocolErrorPause: ProtocolErrorPause
  private currentLimit: UpstreamLimit | undefined
  /** Time at which the upstream is removed; set while its entry is missing after a store outage. */
  removeAtMs: number | undefined
  private consecutiveFailures = 0
  private consecutiveEjections = 0

  /** `onChanged` is called when something has changed that decides whether the upstream gets requests. */
  constructor (public entry: UpstreamEntry, readonly pool: UpstreamPool, readonly onChanged: () => void = () => {}) {
    this.backoff = new UpstreamBackoff(onChanged)
    this.protocolErrorPause = new ProtocolErrorPause(onChanged)
  }

  /** Requests that this host has in progress at the upstream. */
  get inFlight (): number {
    return this.inFlightCount
  }

  set inFlight (count: number) {
    this.inFlightCount = count
    this.onChanged()
  }

  /** Undefined while the upstream names no limit. */
  get limit (): UpstreamLimit | undefined {
    return this.currentLimit
  }

  set limit (limit: UpstreamLimit | undefined) {
    this.currentLimit = limit
    this.onChanged()
  }

  /** Monotonic time until which no request is sent. */
  get pausedUntilMs (): number {
    return Math.max(this.backoff.untilMs, this.protocolErrorPause.untilMs)
  }

  isEjected (nowMs: number): boolean {
    return this.ejectedUntilMs > nowMs
  }

  /** The average, which decays while nothing is measured, so that an upstream that was slow is tried again. */
  computeDurationMs (nowMs: number): number {
    return this.durationMs * 0.5 ** ((nowMs - this.measuredAtMs) / upstreamConstants.durationHalfLifeMs)
  }

  onSuccess (durationMs: number, nowMs: number): void {
    this.consecutiveFailures = 0
    this.consecutiveEjections = 0
    this.measuredAtMs = nowMs
    this.durationMs = this.durationMs === 0
      ? durationMs
      : this.durationMs + upstreamConstants.durationWeight * (durationMs - this.durationMs)
  }

  /** Forgets what was measured of the instance before. */
  onStartedAgain (): void {
    this.backoff.end()
    this.protocolErrorPause.end()
    this.removeFailures()
  }

  removeFailures (): void {
    this.consecutiveFailures = 0
    this.consecutiveEjections = 0
    this.ejectedUntilMs = 0
    this.onChanged()
  }

  /** Returns whether this failure ejects the upstream. */
  onFailure (nowMs: number): boolean {
    this.consecutiveFailures++
    if (this.consecutiveFailures < upstreamConstants.failuresToEject) return false
    this.consecutiveFailures = 0
    const { ejectMs, maxEjectMs } = upstreamConstants
    this.ejectedUntilMs = nowMs + Math.min(ejectMs * 2 ** this.consecutiveEjections, maxEjectMs)
    this.consecutiveEjections++
    this.onChanged()
    return true
  }
}
