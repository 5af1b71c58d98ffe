import { SpeedEstimate } from '../health/speedEstimate.js'
import type { LoadReport } from '../../types/loadReport.js'
import type { Upstream } from '../../types/upstream.js'
import type { AttemptRecord } from './attemptRecord.js'
import { routingConstants } from './constants.js'

/** What this host knows of one upstream: its own attempts, their latency and the last load report. */
export class UpstreamView {
  readonly speed = new SpeedEstimate()
  readonly attempts = new Map<string, AttemptRecord>()
  longAttempts = 0
  /** Own streams without a first token. */
  waiting = 0
  /** Last time at which an answer or a token came at usual pace. */
  healthyMs = 0
  failuresInRow = 0
  leaving = false
  leavingSignalMs = Number.NEGATIVE_INFINITY
  gone = false
  slots = 0
  private models: ReadonlySet<string> | undefined
  /** Load by other hosts at the time of the report. */
  private othersAtReport = 0
  private reportMs = Number.NEGATIVE_INFINITY
  private readonly history = new Int16Array(routingConstants.historySteps)
  private historyStep = 0

  constructor (readonly upstream: Upstream) {
    this.leaving = upstream.state !== 'live'
  }

  isSelectable (): boolean {
    return !this.leaving && !this.gone
  }

  /** True for an upstream that has not said which models it has loaded. */
  isServing (model: string | undefined): boolean {
    return model === undefined || this.models === undefined || this.models.has(model)
  }

  addAttempt (workId: string, attempt: AttemptRecord, nowMs: number): void {
    this.updateHistory(nowMs)
    this.attempts.set(workId, attempt)
    if (attempt.long) this.longAttempts++
    this.waiting++
  }

  takeAttempt (workId: string, nowMs: number): AttemptRecord | undefined {
    const attempt = this.attempts.get(workId)
    if (attempt === undefined) return undefined
    this.updateHistory(nowMs)
    this.attempts.delete(workId)
    if (attempt.long) this.longAttempts--
    if (attempt.firstMs === 0) this.waiting--
    return attempt
  }

  /** Takes over a report whose measurement was made at `atMs` on this host's clock; returns the load by others. */
  applyReport (report: LoadReport, atMs: number, nowMs: number): number {
    this.updateHistory(nowMs)
    this.reportMs = Math.min(atMs, nowMs)
    this.slots = report.slots
    if (report.models !== undefined) this.models = new Set(report.models)
    this.othersAtReport = Math.max(0, report.running + report.waiting - this.getOwnAt(this.reportMs))
    return this.othersAtReport
  }

  /** Load by other hosts: the report, drawn towards the mean of the pool as it ages. */
  computeOthers (poolMean: number, nowMs: number): number {
    const ageMs = nowMs - this.reportMs
    if (ageMs > routingConstants.reportLifetimeMs) return poolMean
    return poolMean + Math.exp(-ageMs / routingConstants.reportTrustMs) * (this.othersAtReport - poolMean)
  }

  private getOwnAt (atMs: number): number {
    const step = Math.floor(atMs / routingConstants.historyStepMs)
    const oldest = this.historyStep - routingConstants.historySteps + 1
    return this.history[Math.max(step, oldest, 0) % routingConstants.historySteps] ?? 0
  }

  /** Fills the steps since the last change with the number of attempts that were in flight. */
  private updateHistory (nowMs: number): void {
    const step = Math.floor(nowMs / routingConstants.historyStepMs)
    const first = Math.max(this.historyStep, step - routingConstants.historySteps + 1)
    for (let i = first; i <= step; i++) this.history[i % routingConstants.historySteps] = this.attempts.size
    this.historyStep = step
  }
}
