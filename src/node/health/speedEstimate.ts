import { healthConstants } from './constants.js'

/**
 * Speed of one upstream from this host's own calls: latency relative to the prediction. A slow
 * upstream gets single probes, and after it has recovered a window that grows with each good answer.
 */
export class SpeedEstimate {
  private averageRatio = 1
  private previousRatio = 1
  private secondPreviousRatio = 1
  private slow = false
  private window = Number.POSITIVE_INFINITY
  private probeDelayMs: number = healthConstants.probeDelayMs
  private nextProbeMs = 0

  /** Smoothed latency relative to the prediction; 1 is as predicted. */
  getLatencyRatio (): number {
    return this.averageRatio
  }

  isSlow (): boolean {
    return this.slow
  }

  /** Feeds the latency of a whole call. The median of three keeps a single straggler from marking its upstream. */
  observeCall (ratio: number, poolRatio: number, nowMs: number): void {
    const [a, b, c] = [ratio, this.previousRatio, this.secondPreviousRatio]
    this.secondPreviousRatio = b
    this.previousRatio = a
    this.observeSample(Math.max(Math.min(a, b), Math.min(Math.max(a, b), c)), poolRatio, nowMs)
  }

  /** Feeds the pace of a stream, which does not depend on the length of the work. */
  observeSample (ratio: number, poolRatio: number, nowMs: number): void {
    const sample = Math.min(ratio, healthConstants.maxLatencyRatio)
    this.averageRatio += healthConstants.sampleWeight * (sample - this.averageRatio)
    this.updateState(this.averageRatio / Math.max(poolRatio, 0.1), sample / Math.max(poolRatio, 0.1), nowMs)
  }

  /** Marks the upstream slow at once, e.g. when it has been silent for several times the predicted latency. */
  setSlow (nowMs: number): void {
    if (!this.slow) this.nextProbeMs = nowMs + this.probeDelayMs
    this.slow = true
    this.averageRatio = Math.max(this.averageRatio, healthConstants.slowRatio * 1.5)
  }

  /** Whether one more attempt may be sent beside the `inFlight` ones of this host. */
  hasCapacity (inFlight: number): boolean {
    return !this.slow && inFlight < this.window
  }

  /** Whether a probe of a slow upstream is due; a late probe goes even if its hedge is not covered by the budget. */
  isProbeDue (isHedgeBudgeted: boolean, nowMs: number): boolean {
    return this.slow && nowMs >= this.nextProbeMs + (isHedgeBudgeted ? 0 : healthConstants.unbudgetedProbeDelayMs)
  }

  onProbeSent (nowMs: number): void {
    this.nextProbeMs = nowMs + this.probeDelayMs
    this.probeDelayMs = Math.min(this.probeDelayMs * 2, healthConstants.maxProbeDelayMs)
  }

  /** A good answer opens the window of a recovering upstream by one. */
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
      // A good sample after the slowdown is worth more than the average, which remembers the slowdown.
      this.averageRatio = Math.min(this.averageRatio, relativeSample * 1.2)
      this.slow = false
      this.window = 1
    }
  }
}
