import { stageConstants } from './constants.js'

/** One upstream of a stage service as the scheduler sees it. Mutable; owned by the scheduler. */
export class StageUpstream {
  callsInFlight = 0
  /** Expected end of the call in progress. */
  busyUntilMs = 0
  /** Moving average of the measured duration of calls relative to the expected one. */
  slowdown = 1
  /** Memory for results that are expected or have not been released. */
  reservedResultBytes = 0
  /** The upstream gets no call before this time: it reported no memory for results, or asked for a pause. */
  pausedUntilMs = 0
  /** The upstream gets no call before this time, after failed calls. */
  private failedUntilMs = 0
  /** The upstream gets no call before this time, because conditions of this host hold it back. */
  heldUntilMs = 0
  /** Calls that conditions of this host allow in progress; infinite when none limits them. */
  places = Infinity
  isDraining = false
  /**
   * Limit that the upstream has named. The host that schedules its cell makes all calls, so it may use the whole limit.
   */
  requestsPerSecond: number | undefined
  lastCallAtMs = -Infinity
  /** Results of calls without an answer: they cannot be released and occupy memory until they expire. */
  private lostResults: Array<{ readonly bytes: number, readonly untilMs: number }> = []
  private failures = 0
  private startedAtMs: number | undefined

  constructor (readonly id: string, readonly failureDomain: string) {}

  /** An instance that has just started has not asked for a pause and holds no results of calls before. */
  applyInstance (startedAtMs: number): void {
    if (this.startedAtMs !== undefined && this.startedAtMs !== startedAtMs) {
      this.pausedUntilMs = 0
      this.removeFailures()
      this.releaseLostResults(Infinity)
    }
    this.startedAtMs = startedAtMs
  }

  isIdle (nowMs: number, concurrentCalls: number): boolean {
    return !this.isDraining && !this.isBusy(concurrentCalls) && this.computeAvailableAtMs() <= nowMs
  }

  isBusy (concurrentCalls: number): boolean {
    return this.callsInFlight >= Math.min(concurrentCalls, this.places)
  }

  getPauseEndMs (): number {
    return Math.max(this.pausedUntilMs, this.failedUntilMs, this.heldUntilMs)
  }

  /** Earliest time of the next call, after a pause and within the limit; busy or not. */
  computeAvailableAtMs (): number {
    if (this.requestsPerSecond === undefined) return this.getPauseEndMs()
    const intervalMs = Math.min(1000 / this.requestsPerSecond, stageConstants.maxCallIntervalMs)
    return Math.max(this.getPauseEndMs(), this.lastCallAtMs + intervalMs)
  }

  /** Keeps the memory of results of a call without an answer reserved. */
  addLostResults (bytes: number, untilMs: number): void {
    this.lostResults.push({ bytes, untilMs })
  }

  /** Counts the memory of lost results that have expired as free. */
  releaseLostResults (nowMs: number): void {
    for (const { bytes, untilMs } of this.lostResults) {
      if (untilMs <= nowMs) this.reservedResultBytes = Math.max(0, this.reservedResultBytes - bytes)
    }
    this.lostResults = this.lostResults.filter(({ untilMs }) => untilMs > nowMs)
  }

  onSuccess (durationMs: number, expectedMs: number): void {
    this.failures = 0
    const { slowdownWeight } = stageConstants
    const measured = durationMs / Math.max(expectedMs, 1)
    // A single call counts as at most ten times slower than expected.
    this.slowdown += slowdownWeight * (Math.min(measured, 10) - this.slowdown)
  }

  onFailure (nowMs: number): void {
    const pauseMs = Math.min(stageConstants.backoffMs * 2 ** this.failures, stageConstants.maxBackoffMs)
    this.failures++
    this.failedUntilMs = Math.max(this.failedUntilMs, nowMs + pauseMs)
  }

  /** Forgets failed calls: the links to the upstreams have changed, so they say nothing about this one. */
  removeFailures (): void {
    this.failures = 0
    this.failedUntilMs = 0
  }
}
