import { healthConstants } from './constants.js'

/**
 * Estimates the speed of one upstream from the latency of this host's own calls, relative to the
 * prediction. A slow upstream receives only single probes. After its recovery, a window that grows
 * with each fast response limits the attempts in flight.
 */
export class SpeedEstimate {
  private averageRatio = 1
  private previousRatio = 1
  private secondPreviousRatio = 1
  private slow = false
  private window = Number.POSITIVE_INFINITY
  private probeDelayMs: number = healthConstants.probeDelayMs
  private nextProbeMs = 0

  /** Smoothed latency relative to the prediction; 1 means as predicted. */
  getLatencyRatio (): number {
    return this.averageRatio
  }

  isSlow (): boolean {
    return this.slow
  }

  /** Records the latency ratio of a complete call. The median of the last three keeps a single straggler from marking the upstream slow. */
  observeCall (ratio: number, poolRatio: number, nowMs: number): void {
    const [a, b, c] = [ratio, this.previousRatio, this.secondPreviousRatio]
    this.secondPreviousRatio = b
    this.previousRatio = a
    this.observeSample(Math.max(Math.min(a, b), Math.min(Math.max(a, b), c)), poolRatio, nowMs)
  }

  /**
   * Records one latency ratio without the median filter. Used for the time per token of a stream, which does not
   * depend on the length of the work.
   */
  observeSample (ratio: number, poolRatio: number, nowMs: number): void {
    const sample = Math.min(ratio, healthConstants.maxLatencyRatio)
    this.averageRatio += healthConstants.sampleWeight * (sample - this.averageRatio)
    this.updateState(this.averageRatio / Math.max(poolRatio, 0.1), sample / Math.max(poolRatio, 0.1), nowMs)
  }

  /** Moves the average and the samples before it towards `ratio` by a share from 0 to 1, after a time without samples. */
  updateTowards (ratio: number, share: number): void {
    this.averageRatio += share * (ratio - this.averageRatio)
    this.previousRatio += share * (ratio - this.previousRatio)
    this.secondPreviousRatio += share * (ratio - this.secondPreviousRatio)
  }

  /** Marks the upstream slow immediately, for example after it has made no normal progress for several predicted latencies. */
  setSlow (nowMs: number): void {
    if (!this.slow) this.nextProbeMs = nowMs + this.probeDelayMs
    this.slow = true
    this.averageRatio = Math.max(this.averageRatio, healthConstants.slowRatio * 1.5)
  }

  /** Whether another attempt may be sent in addition to the `inFlight` attempts of this host. */
  hasCapacity (inFlight: number): boolean {
    return !this.slow && inFlight < this.window
  }

  /** Whether a probe of a slow upstream is due. Without budget for its hedge, a probe is due `unbudgetedProbeDelayMs` later. */
  isProbeDue (isHedgeBudgeted: boolean, nowMs: number): boolean {
    return this.slow && nowMs >= this.nextProbeMs + (isHedgeBudgeted ? 0 : healthConstants.unbudgetedProbeDelayMs)
  }

  onProbeSent (nowMs: number): void {
    this.nextProbeMs = nowMs + this.probeDelayMs
    this.probeDelayMs = Math.min(this.probeDelayMs * 2, healthConstants.maxProbeDelayMs)
  }

  /** Widens the window of a recovering upstream by one attempt. */
  onFastResponse (): void {
    if (this.slow || this.window === Number.POSITIVE_INFINITY) return
    this.window++
    if (this.window < healthConstants.recoveredWindow) return
    this.window = Number.POSITIVE_INFINITY
    this.probeDelayMs = healthConstants.probeDelayMs
  }

  private updateState (relativeAverage: number, relativeSample: number, nowMs: number): void {
    if (!this.slow && relativeAverage > healthConstants.slowRatio) {
      this.setSlow(nowMs)
    } else if (this.slow && relativeSample < healthConstants.recoveredRatio) {
      // A fast sample outweighs the average, which still includes the samples of the slowdown.
      this.averageRatio = Math.min(this.averageRatio, relativeSample * 1.2)
      this.slow = false
      this.window = 1
    }
  }
}
