import { ProtocolErrorPause } from '../gateway/upstreams/protocolErrorPause.js'
import { SpeedEstimate } from '../health/speedEstimate.js'
import type { LoadReport } from '../../types/loadReport.js'
import type { Upstream } from '../../types/upstream.js'
import type { AttemptRecord } from './attemptRecord.js'
import { routingConstants } from './constants.js'

/** State of one upstream as this host sees it: the host's own attempts, their latency and the last load report. */
export class UpstreamView {
  readonly speed = new SpeedEstimate()
  readonly protocolPause = new ProtocolErrorPause(() => {}, routingConstants.maxProtocolPauseMs)
  readonly attempts = new Map<string, AttemptRecord>()
  longAttempts = 0
  /** Own attempts in flight that have received no token or response. */
  awaitingFirstToken = 0
  /** Last time at which a response or a token arrived at the usual speed. */
  lastHealthyMs = 0
  consecutiveFailures = 0
  leaving = false
  leavingSignalMs = Number.NEGATIVE_INFINITY
  gone = false
  slots = 0
  private models: ReadonlySet<string> | undefined
  /** Load from other hosts at the time of the last report. */
  private otherHostsLoadAtReport = 0
  private reportMs = Number.NEGATIVE_INFINITY
  /** Own attempts in flight, a ring buffer with one entry for each `attemptHistoryStepMs`. */
  private readonly attemptHistory = new Int16Array(routingConstants.attemptHistorySteps)
  private lastHistoryStep = 0

  constructor (readonly upstream: Upstream) {
    this.leaving = upstream.state !== 'live'
  }

  isSelectable (): boolean {
    return !this.leaving && !this.gone
  }

  /** Whether the upstream has broken the protocol and gets nothing now; after the pause, one attempt at a time. */
  isPaused (nowMs: number): boolean {
    return !this.protocolPause.isOver(this.attempts.size, nowMs)
  }

  /** Whether the upstream has loaded `model`; true if it does not report its models. */
  isServing (model: string | undefined): boolean {
    return model === undefined || this.models === undefined || this.models.has(model)
  }

  addAttempt (workId: string, attempt: AttemptRecord, nowMs: number): void {
    this.updateHistory(nowMs)
    this.attempts.set(workId, attempt)
    if (attempt.long) this.longAttempts++
    this.awaitingFirstToken++
  }

  takeAttempt (workId: string, nowMs: number): AttemptRecord | undefined {
    const attempt = this.attempts.get(workId)
    if (attempt === undefined) return undefined
    this.updateHistory(nowMs)
    this.attempts.delete(workId)
    if (attempt.long) this.longAttempts--
    if (attempt.firstTokenMs === 0) this.awaitingFirstToken--
    return attempt
  }

  /** Applies a report that was measured at `atMs` on this host's clock, and returns the load from other hosts. */
  applyLoadReport (report: LoadReport, atMs: number, nowMs: number): number {
    this.updateHistory(nowMs)
    this.reportMs = Math.min(atMs, nowMs)
    this.slots = report.slots
    if (report.models !== undefined) this.models = new Set(report.models)
    this.otherHostsLoadAtReport = Math.max(0, report.running + report.waiting - this.getOwnAttemptsAt(this.reportMs))
    return this.otherHostsLoadAtReport
  }

  /** Load from other hosts: the last report, which decays towards the pool mean as it ages. */
  computeOtherHostsLoad (poolMean: number, nowMs: number): number {
    const ageMs = nowMs - this.reportMs
    if (ageMs > routingConstants.reportLifetimeMs) return poolMean
    return poolMean + Math.exp(-ageMs / routingConstants.reportDecayMs) * (this.otherHostsLoadAtReport - poolMean)
  }

  private getOwnAttemptsAt (atMs: number): number {
    const step = Math.floor(atMs / routingConstants.attemptHistoryStepMs)
    const oldest = this.lastHistoryStep - routingConstants.attemptHistorySteps + 1
    return this.attemptHistory[Math.max(step, oldest, 0) % routingConstants.attemptHistorySteps] ?? 0
  }

  /** Fills the history since the last change with the number of attempts in flight. */
  private updateHistory (nowMs: number): void {
    const step = Math.floor(nowMs / routingConstants.attemptHistoryStepMs)
    const first = Math.max(this.lastHistoryStep, step - routingConstants.attemptHistorySteps + 1)
    for (let i = first; i <= step; i++) this.attemptHistory[i % routingConstants.attemptHistorySteps] = this.attempts.size
    this.lastHistoryStep = step
  }
}
