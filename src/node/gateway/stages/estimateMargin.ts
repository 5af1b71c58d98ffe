import { stageConstants } from './constants.js'

/**
 * Time added to the expected finish time of a job, so that a given share of the accepted jobs finishes in time. Tracks
 * that quantile of the estimation error in small steps, because the error changes with the load. Only jobs that were
 * accepted on time are observed. Without them the margin decays: one that exceeds the time to the target of all jobs
 * would otherwise keep every job late after the load that caused it has ended.
 */
export class EstimateMargin {
  private currentMs: number = stageConstants.initialMarginMs
  private observedAtMs: number | undefined

  computeMs (nowMs: number): number {
    const { marginRestMs, marginHalfLifeMs } = stageConstants
    const idleMs = nowMs - (this.observedAtMs ?? nowMs) - marginRestMs
    return idleMs <= 0 ? this.currentMs : this.currentMs * 0.5 ** (idleMs / marginHalfLifeMs)
  }

  /** `errorMs` is the measured minus the expected duration of a job, without the margin. */
  observe (errorMs: number, nowMs: number): void {
    const { marginQuantile, marginStepMs, minMarginMs, maxMarginMs } = stageConstants
    const beforeMs = this.computeMs(nowMs)
    const stepMs = errorMs > beforeMs ? marginStepMs * marginQuantile : -marginStepMs * (1 - marginQuantile)
    this.currentMs = Math.min(Math.max(beforeMs + stepMs, minMarginMs), maxMarginMs)
    this.observedAtMs = nowMs
  }
}
