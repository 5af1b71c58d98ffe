import { capacityConstants } from './constants.js'
import { SpeedEstimate } from '../../health/speedEstimate.js'

/**
 * Smoothed ratio of what an engine took to the usual of its service. While nothing is measured, it decays towards a
 * given ratio, so that an engine that was slow is tried again without a probe.
 */
export class DecayingRatio {
  private readonly estimate = new SpeedEstimate()
  /** Undefined before the first sample. */
  private measuredAtMs: number | undefined
  private sampleCount = 0

  /** `restingRatio` is the ratio without samples. */
  getRatio (restingRatio: number, nowMs: number): number {
    if (this.measuredAtMs === undefined) return restingRatio
    const ageMs = nowMs - this.measuredAtMs
    const ratio = this.estimate.getLatencyRatio()
    if (ageMs <= capacityConstants.ratioRestMs) return ratio
    return restingRatio + (ratio - restingRatio) * computeKeptShare(ageMs)
  }

  /** Number of samples, of which older ones count less. */
  countSamples (nowMs: number): number {
    if (this.measuredAtMs === undefined) return 0
    return this.sampleCount * 0.5 ** ((nowMs - this.measuredAtMs) / capacityConstants.ratioHalfLifeMs)
  }

  observe (ratio: number, restingRatio: number, nowMs: number): void {
    const keptShare = this.measuredAtMs === undefined ? 0 : computeKeptShare(nowMs - this.measuredAtMs)
    this.estimate.updateTowards(restingRatio, 1 - keptShare)
    this.estimate.observeCall(ratio, restingRatio, nowMs)
    this.sampleCount = this.countSamples(nowMs) + 1
    this.measuredAtMs = nowMs
  }
}

function computeKeptShare (ageMs: number): number {
  const { ratioRestMs, ratioHalfLifeMs } = capacityConstants
  return 0.5 ** (Math.max(ageMs - ratioRestMs, 0) / ratioHalfLifeMs)
}
