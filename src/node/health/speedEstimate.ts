import { healthConstants } from './constants.js'

/**
 * Speed of one upstream from this host's own calls: latency relative to the prediction. A slow
 * upstream gets single probes, and after it has recovered a window that grows with each good answer.
 */
export class SpeedEstimate {
  private average = 1
  private previous = 1
  private beforePrevious = 1
  private slow = false
  private window = Number.POSITIVE_INFINITY
  private probeDelayMs: number = healthConstants.probeDelayMs
  private nextProbeMs = 0

  /** Smoothed latency relative to the prediction; 1 is as predicted. */
  getRatio (): number {
    return this.average
  }

  isSlow (): boolean {
    return this.slow
  }

  /** Feeds the latency of a whole call. The median of three keeps a single straggler from marking its upstream. */
  observeCall (ratio: number, poolRatio: number, nowMs: number): void {
    const [a, b, c] = [ratio, this.previous, this.beforePrevious]
    this.beforePrevious = b
    this.previous = a
    this.observeRate(Math.max(Math.min(a, b), Math.min(Math.max(a, b), c)), poolRatio, nowMs)
  }

  /** Feeds the pace of a stream, which does not depend on the length of the work. */
  observeRate (ratio: number, poolRatio: number, nowMs: number): void {
    const sample = Math.min(ratio, healthConstants.largestRatio)
    this.average += healthConstants.sampleWeight * (sample - this.average)
    this.updateState(this.average / Math.max(poolRatio, 0.1), sample / Math.max(poolRatio, 0.1), nowMs)
  }

  /** Marks the upstream slow at once, e.g. when it has been silent for several times the predicted latency. */
  setSlow (nowMs: number): void {
    if (!this.slow) this.nextProbeMs = nowMs + this.probeDelayMs
    this.slow = true
    this.average = Math.max(this.average, healthConstants.slowRatio * 1.5)
  }

  /** Whether one more attempt may be sent beside the `inFlight` ones of this host. */
  hasRoom (inFlight: number): boolean {
    return !this.slow && inFlight < this.window
  }

  /** Whether a probe of a slow upstream is due; a late probe goes even if its hedge is not covered by the budget. */
  isProbeDue (covered: boolean, nowMs: number): boolean {
    return this.slow && nowMs >= this.nextProbeMs + (covered ? 0 : healthConstants.uncoveredProbeDelayMs)
  }

  onProbeSent (nowMs: number): void {
    this.nextProbeMs = nowMs + this.probeDelayMs
    this.probeDelayMs = Math.min(this.probeDelayMs * 2, healthConstants.largestProbeDelayMs)
  }

  /** A good answer opens the window of a recovering upstream by one. */
  onGoodAnswer (): void {
    if (this.slow || this.window === Number.POSITIVE_INFINITY) return
    this.window++
    if (this.window < healthConstants.fullWindow) return
    this.window = Number.POSITIVE_INFINITY
    this.probeDelayMs = healthConstants.probeDelayMs
  }

  private updateState (relative: number, sample: number, nowMs: number): void {
    if (!this.slow && relative > healthConstants.slowRatio) {
      this.setSlow(nowMs)
    } else if (this.slow && sample < healthConstants.recoveredRatio) {
      // A good sample after the slowdown is worth more than the average, which remembers the slowdown.
      this.average = Math.min(this.average, sample * 1.2)
      this.slow = false
      this.window = 1
    }
  }
}
