import { sendRelease } from './sendRelease.js'
import { sendStageCall } from './sendStageCall.js'
import { stageConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { EnginePlanner } from '../engines/enginePlanner.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { StageCall } from './stageCall.js'
import type { StageCallCodec } from '../model/stageCallCodec.js'
import type { StageJob } from './stageJob.js'
import type { StageOutcome } from './stageOutcome.js'
import type { StagePieceResult } from '../model/stagePieceResult.js'
import type { StageRelease } from './stageRelease.js'
import type { RecentAnswers } from './recentAnswers.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StageScheduler } from './stageScheduler.js'
import type { UpstreamDemands } from '../model/upstreamDemands.js'
import type { UpstreamPool } from '../upstreams/upstreamPool.js'

interface DispatcherOptions {
  readonly scheduler: StageScheduler
  /** Connection pool of an upstream; undefined when the upstream is gone. */
  readonly findPool: (upstreamId: string) => Pick<UpstreamPool, 'send'> | undefined
  /** What an upstream has asked for in its answers. */
  readonly findDemands: (upstreamId: string) => UpstreamDemands | undefined
  readonly engines: EnginePlanner
  readonly codec: StageCallCodec
  /** Shared by all dispatchers of a host, which share the connections. */
  readonly recentAnswers: RecentAnswers
  readonly clock: Clock
  readonly timers: Scheduler
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Drives the stage scheduler: sends the calls that it plans, passes their results back to it and sends its releases. */
export class StageDispatcher {
  private readonly outcomeCallbacks = new Map<string, (outcome: StageOutcome) => void>()
  private readonly callsInProgress = new Map<number, () => void>()
  private scheduledPlanning: { readonly atMs: number, readonly cancel: () => void } | undefined
  private cancelRelease: (() => void) | undefined

  constructor (private readonly options: DispatcherOptions) {}

  /** Runs the stages of a job. The results of a completed job must be released with `releaseJob`. */
  async runJob (job: StageJob, signal: AbortSignal): Promise<StageOutcome> {
    const { scheduler, findDemands, engines, clock, logger, metrics } = this.options
    const nowMs = clock.readMonotonicMs()
    const { engineService, prompt } = job
    scheduler.updateHolds(findDemands, nowMs)
    // The queues as they are when the decision is made.
    const queues = scheduler.listLoads(nowMs).map(load => `${load.service}=${load.queuedPieces}+${load.latePieces}/${load.idle}of${load.upstreams}`).join(' ')
    const aimLeftMs = Math.round(job.targetAtMs - nowMs)
    const findDomain = (): string => engineService === undefined ? '' : engines.findDomain(engineService, prompt, nowMs)
    const marginMs = Math.round(scheduler.computeMarginMs(nowMs))
    const admission = scheduler.addJob(job, nowMs, findDomain)
    if (!admission.isAccepted && admission.isDeclined) {
      metrics.addCount('stage_jobs', { decision: 'declined' })
      logger.recordInfo('stages declined', {
        requestId: job.requestId,
        reason: admission.reason,
        expectedMs: Math.round(admission.finishInMs),
        marginMs,
        aimLeftMs,
        queues
      })
      return { type: 'declined', reason: admission.reason }
    }
    if (!admission.isAccepted) {
      metrics.addCount('stage_jobs', { decision: 'refused' })
      logger.recordInfo('stages refused', {
        requestId: job.requestId,
        reason: admission.reason,
        expectedMs: Math.round(admission.finishInMs),
        marginMs,
        aimLeftMs,
        retryAfterMs: Math.round(admission.retryAfterMs),
        queues
      })
      return { type: 'refused', reason: admission.reason, retryAfterMs: admission.retryAfterMs }
    }
    metrics.addCount('stage_jobs', { decision: admission.isLate ? 'accepted-late' : 'accepted' })
    logger.recordInfo('stages accepted', {
      requestId: job.requestId,
      isLate: admission.isLate,
      expectedMs: Math.round(admission.finishInMs),
      marginMs,
      aimLeftMs,
      queues
    })
    return await new Promise(resolve => {
      const onAbort = (): void => {
        scheduler.cancelJob(job.id)
        this.endJob(job.id, { type: 'failed', reason: 'the client left' })
        this.schedulePlanning(0)
      }
      signal.addEventListener('abort', onAbort, { once: true })
      this.outcomeCallbacks.set(job.id, outcome => {
        signal.removeEventListener('abort', onAbort)
        const elapsedMs = clock.readMonotonicMs() - nowMs
        metrics.recordDuration('stage_job', { outcome: outcome.type }, elapsedMs)
        logger.recordInfo('stages ended', {
          requestId: job.requestId,
          outcome: outcome.type,
          reason: outcome.type === 'completed' ? undefined : outcome.reason,
          elapsedMs: Math.round(elapsedMs)
        })
        resolve(outcome.type === 'completed' ? this.addEngine(job, outcome) : outcome)
      })
      if (signal.aborted) onAbort()
      else this.schedulePlanning(stageConstants.batchDelayMs)
    })
  }

  /** Chooses the engine once the results are available, at the host that sees all requests with stages. */
  private addEngine (job: StageJob, outcome: StageOutcome & { readonly type: 'completed' }): StageOutcome {
    if (job.engineService === undefined) return outcome
    const bytes = outcome.outputs.reduce((sum, { index, handles }) => sum + handles.length * (job.stages.find(stage => stage.index === index)?.resultBytes ?? 0), 0)
    const placement = this.options.engines.placeRequest({
      service: job.engineService,
      prompt: job.prompt,
      inputs: { domain: outcome.outputDomain, bytes },
      excludedIds: new Set()
    }, this.options.clock.readMonotonicMs())
    if (placement === undefined) return outcome
    const { engine, readTokens, backlogMs } = placement
    return { ...outcome, engineId: engine.entry.id, engineReadTokens: readTokens, engineBacklogMs: backlogMs }
  }

  /** Releases the results of a completed job that have been used or are not needed. */
  releaseJob (jobId: string): void {
    this.options.scheduler.releaseJob(jobId)
    this.scheduleRelease()
  }

  /** Plans calls after a change of the upstreams or the configuration. */
  onUpstreamsChanged (): void {
    this.schedulePlanning(0)
  }

  stop (): void {
    this.scheduledPlanning?.cancel()
    this.cancelRelease?.()
    for (const cancel of this.callsInProgress.values()) cancel()
  }

  /** Keeps a planning that is scheduled earlier: jobs that keep arriving must not postpone it. */
  private schedulePlanning (delayMs: number): void {
    const atMs = this.options.clock.readMonotonicMs() + delayMs
    if (this.scheduledPlanning !== undefined && this.scheduledPlanning.atMs <= atMs) return
    this.scheduledPlanning?.cancel()
    this.scheduledPlanning = { atMs, cancel: this.options.timers.schedule(delayMs, () => { this.planCalls() }) }
  }

  private planCalls (): void {
    const { scheduler, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    this.scheduledPlanning?.cancel()
    this.scheduledPlanning = undefined
    scheduler.applyHolds(this.options.findDemands, nowMs)
    for (const call of scheduler.planCalls(nowMs)) this.sendCall(call)
    this.recordLostResults()
    this.recordMissingInputs()
    this.endJobs()
    this.scheduleRelease()
    const nextPlanAtMs = scheduler.findNextPlanAtMs(nowMs)
    if (nextPlanAtMs !== undefined) this.schedulePlanning(Math.max(nextPlanAtMs - nowMs, 1))
  }

  private sendCall (call: StageCall): void {
    const { findPool, codec, recentAnswers, clock, timers, logger, metrics } = this.options
    const pool = findPool(call.upstreamId)
    logger.recordInfo('stage call sent', {
      service: call.service,
      upstream: call.upstreamId,
      pieces: call.pieces.length,
      expectedMs: Math.round(call.expectedMs)
    })
    metrics.addCount('stage_pieces', { service: call.service }, call.pieces.length)
    if (pool === undefined) return this.onCallFailed(call, 'upstream gone', false)
    const cancel = sendStageCall({
      pool,
      codec,
      call,
      timers,
      isFirstAnswer: results => recentAnswers.addAnswer(pool, results),
      onAnswer: results => {
        this.callsInProgress.delete(call.id)
        const nowMs = clock.readMonotonicMs()
        metrics.recordDuration('stage_call', { service: call.service }, nowMs - call.sentAtMs)
        this.options.scheduler.applyDemands(call, this.options.findDemands(call.upstreamId))
        this.options.scheduler.onCallAnswered(call, results, nowMs)
        this.recordPieceFailures(call, results)
        this.planCalls()
      },
      onFailure: (reason, mayHaveRun) => {
        this.callsInProgress.delete(call.id)
        this.onCallFailed(call, reason, mayHaveRun)
      }
    })
    this.callsInProgress.set(call.id, cancel)
  }

  private recordPieceFailures (call: StageCall, results: readonly StagePieceResult[]): void {
    const { logger, metrics, scheduler } = this.options
    const usableRoomShare = scheduler.getUsableRoomShare(call.service)
    metrics.setGauge('stage_usable_room_share', { service: call.service }, usableRoomShare)
    const failures = results.flatMap(result => 'failure' in result ? [result.failure] : [])
    if (failures.length === 0) return
    for (const failure of failures) metrics.addCount('stage_piece_failures', { service: call.service, reason: failure })
    logger.recordWarning('stage pieces failed', {
      service: call.service,
      upstream: call.upstreamId,
      pieces: call.pieces.length,
      failed: failures.length,
      reason: failures[0],
      usableRoomShare: Number(usableRoomShare.toFixed(3)),
      firstRequestId: call.pieces[0]?.requestId
    })
  }

  private recordLostResults (): void {
    const results = this.options.scheduler.takeLostResults()
    if (results === 0) return
    this.options.metrics.addCount('stage_results_lost', {}, results)
    this.options.logger.recordWarning('stage results lost', { results })
  }

  private recordMissingInputs (): void {
    const { scheduler, logger, metrics } = this.options
    for (const missingInputs of scheduler.takeMissingInputs()) {
      metrics.addCount('stage_inputs_missing', { service: missingInputs.service })
      logger.recordError('stage inputs missing', { ...missingInputs })
    }
  }

  private onCallFailed (call: StageCall, reason: string, mayHaveRun: boolean): void {
    const { scheduler, clock, logger, metrics } = this.options
    metrics.addCount('stage_calls_failed', { service: call.service })
    logger.recordWarning('stage call failed', {
      service: call.service,
      upstream: call.upstreamId,
      pieces: call.pieces.length,
      reason,
      mayHaveRun,
      elapsedMs: Math.round(clock.readMonotonicMs() - call.sentAtMs),
      firstRequestId: call.pieces[0]?.requestId
    })
    scheduler.applyDemands(call, this.options.findDemands(call.upstreamId))
    scheduler.onCallFailed(call, clock.readMonotonicMs(), mayHaveRun)
    this.schedulePlanning(0)
  }

  private endJobs (): void {
    for (const { jobId, outcome } of this.options.scheduler.takeEndedJobs()) this.endJob(jobId, outcome)
  }

  private endJob (jobId: string, outcome: StageOutcome): void {
    const resolve = this.outcomeCallbacks.get(jobId)
    this.outcomeCallbacks.delete(jobId)
    resolve?.(outcome)
    // The caller no longer waits for the results.
    if (resolve === undefined && outcome.type === 'completed') this.releaseJob(jobId)
  }

  private onReleased (release: StageRelease, outcome: 'done' | 'failed'): void {
    this.options.metrics.addCount('stage_releases', { outcome })
    this.options.scheduler.onReleased(release)
    this.schedulePlanning(0)
  }

  private scheduleRelease (): void {
    if (this.cancelRelease !== undefined || !this.options.scheduler.hasReleases()) return
    this.cancelRelease = this.options.timers.schedule(stageConstants.releaseDelayMs, () => {
      this.cancelRelease = undefined
      this.sendReleases()
    })
  }

  /** Not retried: after a lost release, the results occupy memory until they expire. */
  private sendReleases (): void {
    const { scheduler, findPool, findDemands, codec, timers } = this.options
    for (const release of scheduler.takeReleases()) {
      const isHeldBack = (findDemands(release.upstreamId)?.waitMs ?? 0) > 0
      const pool = isHeldBack ? undefined : findPool(release.upstreamId)
      // The results expire by themselves; counting their memory as free too early costs at most a refused piece.
      if (pool === undefined) this.onReleased(release, 'failed')
      else sendRelease({ pool, codec, release, timers, onEnd: outcome => { this.onReleased(release, outcome) } })
    }
  }
}
