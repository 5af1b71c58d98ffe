import { stageConstants } from './constants.js'

/**
 * Time added to the expected finish time of a job, so that a given share of the accepted jobs finishes in time. Tracks
 * that quantile of the estimation error in small steps, because the error changes with the load.
 */
export class EstimateMargin {
  private currentMs: number = stageConstants.initialMarginMs

  get valueMs (): number {
    return this.currentMs
  }

  /** `errorMs` is the measured minus the expected duration of a job, without the margin. */
  observe (errorMs: number): void {
    const { marginQuantile, marginStepMs, minMarginMs, maxMarginMs } = stageConstants
    const stepMs = errorMs > this.currentMs ? marginStepMs * marginQuantile : -marginStepMs * (1 - marginQuantile)
    this.currentMs = Math.min(Math.max(this.currentMs + stepMs, minMarginMs), maxMarginMs)
  }
}
