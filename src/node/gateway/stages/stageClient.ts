import { peerMethods } from '../../peers/peerMethods.js'
import { decodeStageJob } from './decodeStageJob.js'
import { encodeStageJob } from './encodeStageJob.js'
import { encodeStageOutcome } from './encodeStageOutcome.js'
import { decodeStageOutcome } from './decodeStageOutcome.js'
import { stageConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { HostDirectory } from '../hosts/hostDirectory.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { PeerTransport } from '../../../types/peerTransport.js'
import type { StageDispatcher } from './stageDispatcher.js'
import type { StageJob } from './stageJob.js'
import type { StageOutcome } from './stageOutcome.js'

interface StageClientOptions {
  readonly dispatcher: StageDispatcher
  readonly hosts: HostDirectory
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Runs the stages of a request at the host that schedules all stage work, or at the next candidate when that host
 * cannot be reached. Also serves the jobs of other hosts when this host is the scheduling host.
 */
export class StageClient {
  private readonly avoidedUntilMs = new Map<string, number>()
  private readonly releasedJobIds = new Map<string, string[]>()
  private releaseTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: StageClientOptions) {
    const { transport, dispatcher, clock } = options
    transport.handleStream(peerMethods.runStages, (request, _, signal) => runForPeer(
      dispatcher,
      decodeStageJob(request, clock.readMonotonicMs()),
      signal
    ))
    transport.handle(peerMethods.releaseResults, ({ jobIds }) => {
      for (const jobId of jobIds ?? []) dispatcher.releaseJob(jobId)
      return {}
    })
  }

  /** Runs the stages. `release` releases the results and must be called when they are no longer needed. */
  async runStages (job: StageJob, signal: AbortSignal): Promise<{ readonly outcome: StageOutcome, readonly release: () => void }> {
    const { hosts, dispatcher, clock, logger } = this.options
    for (;;) {
      const host = hosts.chooseScheduler(this.listAvoidedHosts())
      const isSelf = host.id === hosts.getSelf().id
      if (isSelf) {
        const outcome = await dispatcher.runJob(job, signal)
        return { outcome, release: () => { dispatcher.releaseJob(job.id) } }
      }
      const outcome = await this.runAtPeer(host, job, signal)
      if (outcome !== undefined) return { outcome, release: () => { this.scheduleRelease(host, job.id) } }
      if (signal.aborted) return { outcome: { type: 'failed', reason: 'the client left' }, release: () => {} }
      logger.recordWarning('stage scheduler lost', { requestId: job.requestId, peer: host.id, avoidedMs: stageConstants.avoidHostMs })
      this.avoidedUntilMs.set(host.id, clock.readMonotonicMs() + stageConstants.avoidHostMs)
    }
  }

  /** Resolves to undefined when the host did not answer. */
  private async runAtPeer (host: HostEntry, job: StageJob, signal: AbortSignal): Promise<StageOutcome | undefined> {
    const { transport, clock, metrics } = this.options
    const nowMs = clock.readMonotonicMs()
    const timeoutMs = Math.max(job.deadlineAtMs - nowMs, 1) + stageConstants.peerTimeoutMarginMs
    try {
      const answers = transport.openStream(host.peerAddress, peerMethods.runStages, encodeStageJob(job, nowMs), timeoutMs, signal)
      const iterator = answers[Symbol.asyncIterator]()
      const first = await iterator.next()
      await iterator.return?.()
      return first.done === true ? undefined : decodeStageOutcome(first.value)
    } catch (error) {
      metrics.addCount('stage_peer_failures', { reason: error instanceof Error ? error.name : 'unknown' })
      this.options.logger.recordWarning('stage scheduler call failed', { requestId: job.requestId, peer: host.id, reason: (error as Error).message })
      return undefined
    }
  }

  private listAvoidedHosts (): ReadonlySet<string> {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [id, untilMs] of this.avoidedUntilMs) {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(id)
    }
    return new Set(this.avoidedUntilMs.keys())
  }

  private scheduleRelease (host: HostEntry, jobId: string): void {
    const jobIds = this.releasedJobIds.get(host.peerAddress) ?? []
    jobIds.push(jobId)
    this.releasedJobIds.set(host.peerAddress, jobIds)
    this.releaseTimer ??= setTimeout(() => {
      this.releaseTimer = undefined
      for (const [address, ids] of this.releasedJobIds) this.sendRelease(address, ids)
      this.releasedJobIds.clear()
    }, stageConstants.releaseDelayMs)
  }

  /** Not retried: after a lost release, the results occupy memory until they expire. */
  private sendRelease (address: string, jobIds: readonly string[]): void {
    this.options.transport.send(address, peerMethods.releaseResults, { jobIds: [...jobIds] }, stageConstants.peerCallTimeoutMs)
      .catch(() => { this.options.metrics.addCount('stage_releases', { outcome: 'failed' }) })
  }
}

async function * runForPeer (
  dispatcher: StageDispatcher,
  job: StageJob,
  signal: AbortSignal
): AsyncIterable<ReturnType<typeof encodeStageOutcome>> {
  yield encodeStageOutcome(await dispatcher.runJob(job, signal))
}
