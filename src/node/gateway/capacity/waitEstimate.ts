import { capacityConstants } from './constants.js'

/**
 * Mean time that requests wait at an engine before it reads their prompts, from this host's own requests. A queue of
 * other hosts' requests gives no sample until it has drained, so requests that still wait count with their age.
 */
export class WaitEstimate {
  private meanMs = 0
  private measuredAtMs: number | undefined
  /** Times at which waiting requests were to be read without a wait, in the order in which they were sent. */
  private readonly waiting = new Map<object, number>()

  /** Undefined while the wait is unknown: before the first sample and some seconds after the last one. */
  findWaitMs (nowMs: number): number | undefined {
    if (this.measuredAtMs === undefined || nowMs - this.measuredAtMs > capacityConstants.maxWaitAgeMs) return undefined
    return this.computeMeanMs(nowMs)
  }

  /** Wait that a new request has to expect; 0 while it is unknown. */
  computeWaitMs (nowMs: number): number {
    return Math.max(this.findWaitMs(nowMs) ?? 0, this.computeOverdueMs(nowMs))
  }

  /** Records that a request was sent, whose prompt would be read by `expectedAtMs` without a wait. */
  addWaiting (request: object, expectedAtMs: number): void {
    this.waiting.set(request, expectedAtMs)
  }

  /**
   * Records that a request has its first event, or was given up. Those sent before one that has its event wait for
   * another reason than the queue, and count no longer: they may be lost.
   */
  removeWaiting (request: object, hasBegun: boolean): void {
    if (!hasBegun || !this.waiting.has(request)) {
      this.waiting.delete(request)
      return
    }
    for (const other of this.waiting.keys()) {
      this.waiting.delete(other)
      if (other === request) return
    }
  }

  observe (waitMs: number, nowMs: number): void {
    const { waitWeight } = capacityConstants
    const meanMs = this.computeMeanMs(nowMs)
    this.meanMs = this.measuredAtMs === undefined ? waitMs : meanMs + waitWeight * (waitMs - meanMs)
    this.measuredAtMs = nowMs
  }

  /** How long the oldest waiting request is overdue. */
  private computeOverdueMs (nowMs: number): number {
    if (this.waiting.size === 0) return 0
    const [expectedAtMs] = this.waiting.values()
    return Math.max(nowMs - expectedAtMs!, 0)
  }

  /** A queue drains by a millisecond each millisecond, unless requests of other hosts keep arriving. */
  private computeMeanMs (nowMs: number): number {
    return Math.max(this.meanMs - Math.max(nowMs - (this.measuredAtMs ?? nowMs), 0), 0)
  }
}
