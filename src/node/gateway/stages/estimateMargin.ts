import { stageConstants } from './constants.js'

/**
 * Time added to the expected end of a job, so that a chosen share of the accepted jobs ends in time. Tracks that
 * quantile of the estimate's error by small steps, because the error changes with the load.
 */
export class EstimateMargin {
  private currentMs: number = stageConstants.initialMarginMs

  get valueMs (): number {
    return this.currentMs
  }

  /** `errorMs` is the measured less the expected time of a job without the margin. */
  observe (errorMs: number): void {
    const { marginQuantile, marginStepMs, minMarginMs, maxMarginMs } = stageConstants
    const stepMs = errorMs > this.currentMs ? marginStepMs * marginQuantile : -marginStepMs * (1 - marginQuantile)
    this.currentMs = Math.min(Math.max(this.currentMs + stepMs, minMarginMs), maxMarginMs)
  }
}
