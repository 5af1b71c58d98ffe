import { decodeStageJob } from './decodeStageJob.js'
import { encodeStageOutcome } from './encodeStageOutcome.js'
import { peerMethods } from '../../peers/peerMethods.js'
import type { CellRegistry } from './cellRegistry.js'
import type { Clock } from '../../../types/clock.js'
import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { Logger } from '../../../types/logger.js'
import type { PlacedRequests } from '../capacity/placedRequests.js'
import type { PeerSession } from '../../../types/peerSession.js'
import type { PeerSessionHandler } from '../../../types/peerSessionHandler.js'
import type { PeerSessions } from '../../../types/peerSessions.js'

interface ServerOptions {
  readonly cells: CellRegistry
  readonly placedRequests: PlacedRequests
  readonly sessions: PeerSessions
  readonly clock: Clock
  readonly logger: Logger
}

/** Serves the stage jobs of other hosts for the cells that this host schedules. */
export class StageOrderServer {
  constructor (private readonly options: ServerOptions) {}

  start (): void {
    this.options.sessions.handleSession(peerMethods.scheduleStages, (session, peerId) => this.createHandler(session, peerId))
  }

  private createHandler (session: PeerSession<messages.IStageReport>, peerId: string): PeerSessionHandler<messages.IStageOrder> {
    const { cells, placedRequests, clock, logger } = this.options
    const controllers = new Map<string, AbortController>()
    return {
      onMessage: ({ job, cancelledJobId, releasedJobIds, firstEvents }) => {
        for (const jobId of releasedJobIds ?? []) cells.releaseJob(jobId)
        for (const { jobId, elapsedMs, hasBegun } of firstEvents ?? []) {
          placedRequests.observe({ jobId: jobId ?? '', elapsedMs: elapsedMs ?? 0, hasBegun: hasBegun ?? false }, clock.readMonotonicMs())
        }
        if (cancelledJobId) controllers.get(cancelledJobId)?.abort('cancelled by its host')
        if (job != null) this.runJob(job, session, controllers)
      },
      onClosed: reason => {
        if (controllers.size > 0) logger.recordWarning('host of stage jobs lost', { peer: peerId, jobs: controllers.size, reason })
        for (const controller of controllers.values()) controller.abort('its host is lost')
      }
    }
  }

  private runJob (message: messages.IStageJob, session: PeerSession<messages.IStageReport>, controllers: Map<string, AbortController>): void {
    const { cells, placedRequests, clock, logger } = this.options
    const job = decodeStageJob(message, clock.readMonotonicMs())
    const controller = new AbortController()
    controllers.set(job.id, controller)
    cells.getDispatcher(message.cellDomains ?? []).runJob(job, controller.signal)
      .catch((error: unknown) => {
        logger.recordError('stage job failed unexpectedly', { requestId: job.requestId, reason: (error as Error).message, stack: (error as Error).stack })
        return { type: 'failed', reason: 'the scheduling host failed' } as const
      })
      .then(outcome => {
        if (controllers.get(job.id) === controller) controllers.delete(job.id)
        if (outcome.type === 'completed' && outcome.engineId !== undefined && outcome.engineReadTokens !== undefined) {
          const { engineId, engineReadTokens: readTokens, engineBacklogMs: backlogMs = 0 } = outcome
          placedRequests.addRequest(job.id, { service: job.engineService ?? '', engineId, readTokens, backlogMs }, clock.readMonotonicMs())
        }
        if (!controller.signal.aborted) session.send({ jobId: job.id, outcome: encodeStageOutcome(outcome) })
      }, () => {})
  }
}
