import { capacityConstants } from './constants.js'
import { LatencyEstimate } from '../../routing/latencyEstimate.js'
import { LoadedRatio } from './loadedRatio.js'
import { RecentMedian } from './recentMedian.js'

/**
 * A duration of the engines of one service that depends on the engine and its load, such as that of reading a prompt
 * token. The usual duration follows the lower quartile of the service, and each engine has its ratio to it.
 */
export class Figure {
  private readonly base: LatencyEstimate
  private readonly medianRatios = new RecentMedian()
  private readonly ratios = new Map<string, LoadedRatio>()
  private sampleCount = 0

  /** `statedMs` is the duration until enough samples of the service are known. */
  constructor (private readonly statedMs: number) {
    this.base = new LatencyEstimate(statedMs)
  }

  /** Whether the figure is measured and not the stated one. */
  get isKnown (): boolean {
    return this.sampleCount >= capacityConstants.minServiceSamples
  }

  /** Duration at an engine; the median of the service for an engine that is not known. */
  computeMs (engineId: string, inProgress: number, nowMs: number): number {
    if (!this.isKnown) return this.statedMs
    const medianRatio = this.getMedianRatio()
    return this.base.getBaseMs() * (this.ratios.get(engineId)?.getRatio(inProgress, medianRatio, nowMs) ?? medianRatio)
  }

  /** Duration at an engine of the median speed. */
  computeMedianMs (): number {
    return this.isKnown ? this.base.getBaseMs() * this.getMedianRatio() : this.statedMs
  }

  /** Duration at an engine relative to the median of the service. */
  computeRatio (engineId: string, inProgress: number, nowMs: number): number {
    if (!this.isKnown) return 1
    const medianRatio = this.getMedianRatio()
    return (this.ratios.get(engineId)?.getRatio(inProgress, medianRatio, nowMs) ?? medianRatio) / medianRatio
  }

  /** Number of samples of an engine, of which older ones count less. */
  countSamples (engineId: string, nowMs: number): number {
    return this.ratios.get(engineId)?.countSamples(nowMs) ?? 0
  }

  /** Ratios to the median with few and with many requests in progress; undefined for an engine that is not known. */
  findRatios (engineId: string, nowMs: number): { readonly quiet: number, readonly busy: number } | undefined {
    const ratio = this.ratios.get(engineId)
    if (ratio === undefined || !this.isKnown) return undefined
    const medianRatio = this.getMedianRatio()
    return {
      quiet: ratio.getQuietRatio(medianRatio, nowMs) / medianRatio,
      busy: ratio.getBusyRatio(medianRatio, nowMs) / medianRatio
    }
  }

  /**
   * `isExact` is false for a sample that only corrects the ratio of its engine, not the usual duration of the service.
   */
  observe (engineId: string, ms: number, inProgress: number, nowMs: number, isExact = true): void {
    if (isExact) {
      this.sampleCount++
      this.base.observeBase(ms, nowMs)
    }
    // Until the base is settled, a ratio to it would be one to the first samples.
    if (!this.isKnown) return
    const ratio = Math.max(ms / this.base.getBaseMs(), capacityConstants.minRatio)
    const known = this.ratios.get(engineId) ?? new LoadedRatio()
    this.ratios.set(engineId, known)
    const medianRatio = this.getMedianRatio()
    known.observe(ratio, inProgress, medianRatio, nowMs)
    this.medianRatios.set(engineId, known.getQuietRatio(medianRatio, nowMs))
  }

  removeEngine (engineId: string): void {
    this.ratios.delete(engineId)
    this.medianRatios.remove(engineId)
  }

  private getMedianRatio (): number {
    return this.medianRatios.getMedian() ?? 1
  }
}
