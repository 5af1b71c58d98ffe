import { conditionConstants } from './constants.js'
import type { Random } from '../../../types/random.js'

type Phase = 'brittle' | 'doubtful' | 'over'

/**
 * What this host knows of the time in which the upstreams of one service are brittle. Their reports start and renew it;
 * answers without a report end it, for each upstream and, once none has reported lately, for the service. After a time
 * without answers it is doubtful: a health check, and then one request at a time, show whether it is over. Most of
 * hundreds of hosts have no share of any upstream and learn of the end in this way alone.
 */
export class BrittlePeriod {
  private readonly reportedAtMs = new Map<string, number>()
  private readonly clearedAtMs = new Map<string, number>()
  private untilMs = -Infinity
  private doubtUntilMs = -Infinity
  private nextCheckAtMs = -Infinity
  /** Whether a health check since the last report did not report. */
  private isChecked = false
  /** Whether health checks do not report what other answers do. */
  private isHealthSilent = false
  /** Rejections a second that an upstream bears, by the last report. */
  maxRejections = Infinity

  constructor (readonly beganAtMs: number, private readonly random: Random) {}

  observeReport (upstreamId: string, maxRejections: number, nowMs: number): void {
    const { brittleSilenceMs, brittleLongSilenceMs, brittleDoubtMs } = conditionConstants
    if (this.isChecked) this.isHealthSilent = true
    this.isChecked = false
    this.reportedAtMs.set(upstreamId, nowMs)
    this.clearedAtMs.delete(upstreamId)
    this.maxRejections = maxRejections
    // Hosts that learn of the period together must not ask together.
    this.untilMs = nowMs + (this.isHealthSilent ? brittleLongSilenceMs : brittleSilenceMs) * (1 + this.random())
    this.doubtUntilMs = this.untilMs + brittleDoubtMs
  }

  /** An answer without a report. The reports of upstreams that have not answered lately say nothing any more. */
  observeClear (upstreamId: string, nowMs: number): void {
    const isDoubtful = this.getPhase(nowMs) === 'doubtful'
    this.reportedAtMs.delete(upstreamId)
    this.clearedAtMs.set(upstreamId, nowMs)
    for (const [id, atMs] of this.reportedAtMs) {
      if (isDoubtful || atMs < nowMs - conditionConstants.brittleReportMs) this.reportedAtMs.delete(id)
    }
    if (this.reportedAtMs.size === 0) this.untilMs = this.doubtUntilMs = -Infinity
  }

  /** A health check without a report: requests have to confirm it. */
  observeClearCheck (nowMs: number): void {
    if (this.getPhase(nowMs) === 'doubtful') this.isChecked = true
  }

  getPhase (nowMs: number): Phase {
    if (nowMs < this.untilMs) return 'brittle'
    return nowMs < this.doubtUntilMs ? 'doubtful' : 'over'
  }

  /** Whether a request may be sent to learn whether the period is over. */
  isRequestAllowed (): boolean {
    return this.isChecked || this.isHealthSilent
  }

  /** Whether the health of an upstream is to be checked now; the next time is a while later. */
  takeCheck (nowMs: number): boolean {
    if (this.isRequestAllowed() || nowMs < this.nextCheckAtMs) return false
    this.nextCheckAtMs = nowMs + conditionConstants.brittleCheckMs
    return true
  }

  /** Time until the period is doubtful without another answer. */
  computeLeftMs (nowMs: number): number {
    return this.untilMs - nowMs
  }

  /** Whether an upstream is brittle: reports of others count until it has answered without one. */
  isBrittle (upstreamId: string, nowMs: number): boolean {
    if (nowMs >= this.untilMs) return false
    const clearedAtMs = this.clearedAtMs.get(upstreamId) ?? -Infinity
    return this.reportedAtMs.has(upstreamId) || clearedAtMs < nowMs - conditionConstants.brittleClearMs
  }
}
