import { decodeStageOutcome } from './decodeStageOutcome.js'
import { encodeStageJob } from './encodeStageJob.js'
import { peerMethods } from '../../peers/peerMethods.js'
import { stageConstants } from './constants.js'
import type { FirstEventReport } from '../capacity/firstEventReport.js'
import type { Clock } from '../../../types/clock.js'
import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { PeerSession } from '../../../types/peerSession.js'
import type { PeerSessions } from '../../../types/peerSessions.js'
import type { StageJob } from './stageJob.js'
import type { StageOutcome } from './stageOutcome.js'

interface SessionOptions {
  readonly sessions: PeerSessions
  readonly address: string
  readonly clock: Clock
  /** The host was lost; its jobs have ended without an outcome. */
  readonly onClosed: (reason: string) => void
}

type OutcomeCallback = (outcome: StageOutcome | undefined) => void

/** Session of this host with a host that schedules stage work. All jobs share it: a call each would cost more than the scheduling. */
export class SchedulingSession {
  private readonly outcomeCallbacks = new Map<string, OutcomeCallback>()
  private readonly session: PeerSession<messages.IStageOrder>
  private releasedJobIds: string[] = []
  private firstEvents: FirstEventReport[] = []
  private releaseTimer: NodeJS.Timeout | undefined
  private isClosed = false
  private usedAtMs: number

  constructor (private readonly options: SessionOptions) {
    const { sessions, address, clock } = options
    this.usedAtMs = clock.readMonotonicMs()
    this.session = sessions.openSession(address, peerMethods.scheduleStages, stageConstants.sessionConnectMs, {
      onMessage: ({ jobId, outcome }) => { this.endJob(jobId, outcome == null ? undefined : decodeStageOutcome(outcome)) },
      onClosed: reason => { this.onClosed(reason) }
    })
  }

  /** Runs a job in the cell of `domains`. Resolves to undefined when the host is lost or does not answer by the job's deadline. */
  async runJob (job: StageJob, domains: readonly string[], signal: AbortSignal): Promise<StageOutcome | undefined> {
    if (this.isClosed || signal.aborted) return undefined
    const nowMs = this.options.clock.readMonotonicMs()
    this.usedAtMs = nowMs
    return await new Promise(resolve => {
      const onAbort = (): void => { this.cancelJob(job.id) }
      const timer = setTimeout(onAbort, Math.max(job.deadlineAtMs - nowMs, 1) + stageConstants.peerTimeoutMarginMs)
      signal.addEventListener('abort', onAbort, { once: true })
      this.outcomeCallbacks.set(job.id, outcome => {
        clearTimeout(timer)
        signal.removeEventListener('abort', onAbort)
        resolve(outcome)
      })
      this.session.send({ job: encodeStageJob(job, domains, nowMs) })
    })
  }

  /** Releases the results of a completed job. Not repeated: after a lost release, the results occupy memory until they expire. */
  releaseJob (jobId: string): void {
    this.releasedJobIds.push(jobId)
    this.scheduleReports()
  }

  /** Reports the first event of a request whose engine the host has chosen. Not repeated. */
  reportFirstEvent (report: FirstEventReport): void {
    if (this.isClosed) return
    this.firstEvents.push(report)
    this.scheduleReports()
  }

  private scheduleReports (): void {
    this.releaseTimer ??= setTimeout(() => {
      this.releaseTimer = undefined
      this.session.send({ releasedJobIds: this.releasedJobIds, firstEvents: this.firstEvents })
      this.releasedJobIds = []
      this.firstEvents = []
    }, stageConstants.releaseDelayMs)
  }

  /** Whether the session has had no job for some time. */
  isIdle (nowMs: number): boolean {
    return this.outcomeCallbacks.size === 0 && nowMs - this.usedAtMs >= stageConstants.sessionIdleMs
  }

  close (): void {
    this.session.close()
    this.onClosed('closed by this host')
  }

  private cancelJob (jobId: string): void {
    this.session.send({ cancelledJobId: jobId })
    this.endJob(jobId, undefined)
  }

  private endJob (jobId: string | null | undefined, outcome: StageOutcome | undefined): void {
    const callback = this.outcomeCallbacks.get(jobId ?? '')
    this.outcomeCallbacks.delete(jobId ?? '')
    callback?.(outcome)
  }

  private onClosed (reason: string): void {
    if (this.isClosed) return
    this.isClosed = true
    clearTimeout(this.releaseTimer)
    this.options.onClosed(reason)
    for (const jobId of [...this.outcomeCallbacks.keys()]) this.endJob(jobId, undefined)
  }
}
