import { findSharedPartId } from '../engines/findSharedPartId.js'
import { SchedulingSession } from './schedulingSession.js'
import { stageConstants } from './constants.js'
import type { CellRegistry } from './cellRegistry.js'
import type { FirstEventReport } from '../capacity/firstEventReport.js'
import type { Clock } from '../../../types/clock.js'
import type { HostDirectory } from '../hosts/hostDirectory.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { PeerSessions } from '../../../types/peerSessions.js'
import type { SchedulingCell } from './schedulingCell.js'
import type { StageJob } from './stageJob.js'
import type { StageOutcome } from './stageOutcome.js'

interface StageClientOptions {
  readonly cells: CellRegistry
  readonly hosts: HostDirectory
  readonly sessions: PeerSessions
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** The outcome of a request's stages. `release` releases the results and must be called when they are no longer needed. */
interface StageRun {
  readonly outcome: StageOutcome
  readonly release: () => void
  /** Reports the first event to the host that has chosen the engine; undefined when it is this host. */
  readonly reportFirstEvent?: (report: Omit<FirstEventReport, 'jobId'>) => void
}

const noRelease = (): void => {}

/**
 * Runs the stages of a request at the host that schedules the work of its cell, or at the next candidate when that host
 * cannot be reached. A cell that cannot be on time passes the request on to the next one: load peaks and lost upstreams
 * hit single cells.
 */
export class StageClient {
  private readonly avoidedUntilMs = new Map<string, number>()
  /** Sessions by the address of the scheduling host. */
  private readonly sessions = new Map<string, SchedulingSession>()

  constructor (private readonly options: StageClientOptions) {}

  /** Runs the stages in the cell of the job, or in the next one when that cell declines it. */
  async runStages (job: StageJob, signal: AbortSignal): Promise<StageRun> {
    const services = [...job.stages.map(stage => stage.service), ...job.engineService === undefined ? [] : [job.engineService]]
    const [first, second] = this.options.cells.listRankedCells(findSharedPartId(job.prompt.parts) ?? job.requestId, services)
    if (second === undefined) return await this.runInCell(first!, job, signal)
    const run = await this.runInCell(first!, { ...job, isDeclinable: true }, signal)
    return run.outcome.type === 'declined' ? await this.runInCell(second, job, signal) : run
  }

  stop (): void {
    for (const session of [...this.sessions.values()]) session.close()
  }

  private async runInCell ({ domains }: SchedulingCell, job: StageJob, signal: AbortSignal): Promise<StageRun> {
    const { hosts, cells, clock, logger } = this.options
    for (;;) {
      const host = hosts.chooseScheduler(this.listAvoidedHosts(), domains)
      if (host.id === hosts.getSelf().id) {
        const dispatcher = cells.getDispatcher(domains)
        return { outcome: await dispatcher.runJob(job, signal), release: () => { dispatcher.releaseJob(job.id) } }
      }
      const session = this.getSession(host)
      const outcome = await session.runJob(job, domains, signal)
      if (outcome !== undefined) {
        return {
          outcome,
          release: () => { session.releaseJob(job.id) },
          reportFirstEvent: report => { session.reportFirstEvent({ ...report, jobId: job.id }) }
        }
      }
      if (signal.aborted) return { outcome: { type: 'failed', reason: 'the client left' }, release: noRelease }
      logger.recordWarning('stage scheduler lost', { requestId: job.requestId, peer: host.id, avoidedMs: stageConstants.avoidHostMs })
      this.avoidedUntilMs.set(host.id, clock.readMonotonicMs() + stageConstants.avoidHostMs)
    }
  }

  private getSession ({ id, peerAddress }: HostEntry): SchedulingSession {
    const known = this.sessions.get(peerAddress)
    if (known !== undefined) return known
    this.closeIdleSessions()
    const { sessions, clock, logger, metrics } = this.options
    const session = new SchedulingSession({
      sessions,
      address: peerAddress,
      clock,
      onClosed: reason => {
        if (this.sessions.get(peerAddress) !== session) return
        this.sessions.delete(peerAddress)
        metrics.addCount('stage_sessions_closed', {})
        logger.recordInfo('stage session closed', { peer: id, reason })
      }
    })
    this.sessions.set(peerAddress, session)
    logger.recordInfo('stage session opened', { peer: id })
    return session
  }

  private closeIdleSessions (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const session of [...this.sessions.values()]) {
      if (session.isIdle(nowMs)) session.close()
    }
  }

  private listAvoidedHosts (): ReadonlySet<string> {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [id, untilMs] of this.avoidedUntilMs) {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(id)
    }
    return new Set(this.avoidedUntilMs.keys())
  }
}
