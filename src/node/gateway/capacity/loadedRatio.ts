import { capacityConstants } from './constants.js'
import { DecayingRatio } from './decayingRatio.js'

/**
 * Ratio of one engine to the usual of its service, apart for times with few and with many of this host's requests in
 * progress there. An engine that is slow by itself is slow at any load; one that is slow because of its load has a high
 * ratio only while it is busy, and is as fast as others again as soon as it has less to do.
 */
export class LoadedRatio {
  private readonly quiet = new DecayingRatio()
  private readonly busy = new DecayingRatio()
  private meanInProgress: number | undefined

  /** Ratio at a number of requests in progress. */
  getRatio (inProgress: number, medianRatio: number, nowMs: number): number {
    const quietRatio = this.getQuietRatio(medianRatio, nowMs)
    return this.isBusy(inProgress) ? this.busy.getRatio(quietRatio, nowMs) : quietRatio
  }

  /** Ratio with few requests in progress. */
  getQuietRatio (medianRatio: number, nowMs: number): number {
    return this.quiet.getRatio(medianRatio, nowMs)
  }

  /** Ratio with many requests in progress. */
  getBusyRatio (medianRatio: number, nowMs: number): number {
    return this.busy.getRatio(this.getQuietRatio(medianRatio, nowMs), nowMs)
  }

  /** Number of samples, of which older ones count less. */
  countSamples (nowMs: number): number {
    return this.quiet.countSamples(nowMs) + this.busy.countSamples(nowMs)
  }

  observe (ratio: number, inProgress: number, medianRatio: number, nowMs: number): void {
    this.meanInProgress ??= inProgress
    if (this.isBusy(inProgress)) this.busy.observe(ratio, this.getQuietRatio(medianRatio, nowMs), nowMs)
    else this.quiet.observe(ratio, medianRatio, nowMs)
    this.meanInProgress += capacityConstants.occupancyWeight * (inProgress - this.meanInProgress)
  }

  private isBusy (inProgress: number): boolean {
    return this.meanInProgress !== undefined && inProgress > this.meanInProgress
  }
}
