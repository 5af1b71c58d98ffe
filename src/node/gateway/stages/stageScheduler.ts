import { admitStageJob } from './admitStageJob.js'
import { buildStageCall } from './buildStageCall.js'
import { computeSortKeyMs } from './computeSortKeyMs.js'
import { endIncompleteTurns } from './endIncompleteTurns.js'
import { EstimateMargin } from './estimateMargin.js'
import { JobState } from './jobState.js'
import { findLargestDomain } from './findLargestDomain.js'
import { hasOldResults } from './hasOldResults.js'
import { isStartAllowed } from './isStartAllowed.js'
import { listRankedTasks } from './listRankedTasks.js'
import { observeCallCosts } from './observeCallCosts.js'
import { recordJobStart } from './recordJobStart.js'
import { stageConstants } from './constants.js'
import { ResultTracker } from './resultTracker.js'
import { StageService } from './stageService.js'
import { retryInputs } from './retryInputs.js'
import { retryLostResults } from './retryLostResults.js'
import { updateBacklogs } from './updateBacklogs.js'
import { updateReadyTasks } from './updateReadyTasks.js'
import { updateStageUpstreams } from './updateStageUpstreams.js'
import type { MissingInputs } from './missingInputs.js'
import type { ServiceSpec } from '../model/serviceSpec.js'
import type { StageAdmission } from './stageAdmission.js'
import type { StageCall } from './stageCall.js'
import type { StageJob } from './stageJob.js'
import type { StageLoad } from './stageLoad.js'
import type { StageOutcome } from './stageOutcome.js'
import type { StagePieceResult } from '../model/stagePieceResult.js'
import type { StageRelease } from './stageRelease.js'
import type { StageTask } from './stageTask.js'
import type { UpstreamDemands } from '../model/upstreamDemands.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

/**
 * Schedules the stages of all requests: one queue for each stage service, calls that combine pieces of any requests,
 * and admission by the expected finish time. Uses no clock, socket or timer: callers pass the time and send the calls.
 */
export class StageScheduler {
  private readonly services = new Map<string, StageService>()
  private readonly jobs = new Map<string, JobState>()
  private readonly endedJobs: Array<{ readonly jobId: string, readonly outcome: StageOutcome }> = []
  private readonly margin = new EstimateMargin()
  private readonly resultTracker = new ResultTracker(this.services)
  private nextCallId = 1
  private hasLostUpstreams = false
  private lostResults = 0
  private readonly missingInputs: MissingInputs[] = []
  /** Whether the jobs have changed since the backlogs were counted. */
  private hasUncountedChanges = false
  /** Time after which the next on-time job counts as late in the backlogs. */
  private nextLateAtMs = Infinity

  /** Applies the stage services of a configuration and the upstreams that serve them. */
  applyUpstreams (specs: ReadonlyMap<string, ServiceSpec>, listUpstreams: (service: string) => readonly UpstreamEntry[]): void {
    for (const { name, stage } of specs.values()) {
      if (stage === undefined) continue
      const service = this.services.get(name) ?? new StageService(name, stage)
      service.spec = stage
      this.services.set(name, service)
      if (updateStageUpstreams(service, listUpstreams(name))) this.hasLostUpstreams = true
    }
  }

  listUpstreamIds (): ReadonlySet<string> {
    return new Set([...this.services.values()].flatMap(service => [...service.upstreams.keys()]))
  }

  /**
   * Accepts or refuses a job. `takeEndedJobs` returns the outcome of an accepted one. `findDomain` finds the failure domain
   * preferred for its engine; it is called for accepted jobs only.
   */
  addJob (job: StageJob, nowMs: number, findDomain = () => job.preferredDomain): StageAdmission {
    this.countBacklogs(nowMs)
    const admission = admitStageJob(job, this.services, nowMs, this.margin.computeMs(nowMs))
    if (!admission.isAccepted) return admission
    const expectedMs = admission.isLate ? undefined : admission.finishInMs
    const sortKeyMs = computeSortKeyMs(job, this.services, nowMs)
    const options = { nowMs, expectedMs, sortKeyMs, services: this.services }
    const state = new JobState({ ...job, preferredDomain: findDomain() }, options)
    this.jobs.set(job.id, state)
    updateReadyTasks(state, this.services, nowMs)
    this.hasUncountedChanges = true
    return admission
  }

  /** Removes a job and releases its results; pieces that are in a call run to completion. */
  cancelJob (jobId: string): void {
    const state = this.jobs.get(jobId)
    if (state !== undefined) this.removeJob(state)
  }

  /** Releases the results of a completed job. */
  releaseJob (jobId: string): void {
    const state = this.jobs.get(jobId)
    if (state !== undefined) this.removeJob(state)
  }

  /** Plans the calls to send now. */
  planCalls (nowMs: number): readonly StageCall[] {
    this.countBacklogs(nowMs)
    this.endExpiredJobs(nowMs)
    this.retryLostJobs(nowMs)
    this.resultTracker.releaseFetchedInputs(nowMs)
    const calls: StageCall[] = []
    for (const service of this.services.values()) {
      for (const upstream of service.upstreams.values()) upstream.releaseLostResults(nowMs)
      this.missingInputs.push(...endIncompleteTurns(service))
      while (service.readyTasks.size > 0) {
        const rankedTasks = listRankedTasks(service, nowMs, (task, schedulingClass) => {
          return isStartAllowed(task.jobState, schedulingClass, this.services, nowMs)
        })
        const call = buildStageCall({ service, rankedTasks, nowMs, callId: this.nextCallId })
        if (call === undefined) break
        this.nextCallId++
        this.onCallSent(service, call)
        calls.push(call)
      }
    }
    return calls
  }

  /** Applies what the upstream of a call asks for by now. */
  applyDemands ({ service, upstreamId }: StageCall, demands: UpstreamDemands | undefined): void {
    const upstream = this.services.get(service)?.upstreams.get(upstreamId)
    if (upstream === undefined || demands === undefined) return
    upstream.requestsPerSecond = demands.requestsPerSecond
    upstream.pausedUntilMs = Math.max(upstream.pausedUntilMs, demands.backoffUntilMs)
  }

  /** The links from this host to all upstreams were cut, or work again. */
  applyLinkChange (): void {
    for (const { upstreams } of this.services.values()) {
      for (const upstream of upstreams.values()) upstream.removeFailures()
    }
  }

  /** Applies for how long conditions hold back each upstream, and how many calls they allow there. */
  applyHolds (findDemands: (upstreamId: string) => UpstreamDemands | undefined, nowMs: number): void {
    for (const service of this.services.values()) service.applyHolds(findDemands, nowMs)
  }

  /**
   * Ends holds whose conditions have ended since `applyHolds`: without waiting work, there is no planning to apply them.
   */
  updateHolds (findDemands: (upstreamId: string) => UpstreamDemands | undefined, nowMs: number): void {
    for (const service of this.services.values()) service.updateHolds(findDemands, nowMs)
  }

  /** Handles the answer to a call; `results` are in the order of its pieces. */
  onCallAnswered (call: StageCall, results: readonly StagePieceResult[], nowMs: number): void {
    const service = this.services.get(call.service)!
    const upstream = service.upstreams.get(call.upstreamId)
    if (upstream !== undefined) {
      upstream.callsInFlight--
      upstream.onSuccess(nowMs - call.sentAtMs, call.expectedMs)
    }
    observeCallCosts(service, call, nowMs)
    service.room.observeCall(results.some(result => 'failure' in result && result.failure === 'no-room'))
    const tasks = new Set<StageTask>()
    results.forEach((result, i) => {
      const { task, pieceIndex } = call.pieceRefs[i]!
      task.endPiece()
      tasks.add(task)
      this.onPieceResult(call, task, pieceIndex, result, nowMs)
    })
    for (const task of tasks) {
      this.resultTracker.releaseUsedInputs(task)
      this.updateJob(task.jobState, nowMs)
    }
    this.hasUncountedChanges = true
  }

  /**
   * Handles a call that was refused or lost; its pieces are sent again. One that may have run has left results that nobody
   * can release.
   */
  onCallFailed (call: StageCall, nowMs: number, mayHaveRun: boolean): void {
    const { spec, upstreams } = this.services.get(call.service)!
    const upstream = upstreams.get(call.upstreamId)
    if (upstream !== undefined) {
      upstream.callsInFlight--
      upstream.onFailure(nowMs)
    }
    for (const { task, pieceIndex } of call.pieceRefs) {
      task.endPiece()
      task.jobState.hasFailedCall = true
      if (mayHaveRun) upstream?.addLostResults(task.work.resultBytes, nowMs + spec.resultLifetimeMs)
      else this.resultTracker.releaseMemory(call.service, call.upstreamId, task.work.resultBytes)
      this.retryPiece(task, pieceIndex, nowMs)
    }
    this.hasUncountedChanges = true
  }

  /** Returns the jobs that have ended since the last invocation. */
  takeEndedJobs (): ReadonlyArray<{ readonly jobId: string, readonly outcome: StageOutcome }> {
    return this.endedJobs.splice(0)
  }

  /** Returns the number of results that were lost while they were needed, since the last invocation. */
  takeLostResults (): number {
    const count = this.lostResults
    this.lostResults = 0
    return count
  }

  /** Returns what stages lacked that were queued without their inputs, since the last invocation. */
  takeMissingInputs (): readonly MissingInputs[] {
    return this.missingInputs.splice(0)
  }

  /** Share of the memory for results of a service that calls may fill. */
  getUsableRoomShare (service: string): number {
    return this.services.get(service)?.room.usableShare ?? 1
  }

  /** Returns the results to release since the last invocation, by upstream. */
  takeReleases (): readonly StageRelease[] {
    return this.resultTracker.takeReleases()
  }

  /** Counts the memory of released results as free again. */
  onReleased (release: StageRelease): void {
    this.resultTracker.releaseMemory(release.service, release.upstreamId, release.bytes)
  }

  hasReleases (): boolean {
    return this.resultTracker.hasReleases()
  }

  /** Time added to the expected finish time of jobs. */
  computeMarginMs (nowMs: number): number {
    return this.margin.computeMs(nowMs)
  }

  /** Time of the next planning: the end of a pause, of a fetch of inputs or of a wait for a failure domain. Undefined when nothing waits. */
  findNextPlanAtMs (nowMs: number): number | undefined {
    let next: number | undefined = this.resultTracker.hasFetchingTasks() ? nowMs + stageConstants.inputFetchMs / 2 : undefined
    for (const service of this.services.values()) next = Math.min(next ?? Infinity, service.findNextPlanAtMs(nowMs))
    return next === Infinity ? undefined : next
  }

  /** Queue lengths and idle upstreams by service, for logs and measurements. */
  listLoads (nowMs: number): readonly StageLoad[] {
    this.countBacklogs(nowMs)
    return [...this.services.values()].map(service => service.computeLoad(nowMs))
  }

  /**
   * Counts the backlogs when they are read after a change, or after a job has become late: counting them at each change
   * would cost more than the scheduling.
   */
  private countBacklogs (nowMs: number): void {
    if (!this.hasUncountedChanges && nowMs <= this.nextLateAtMs) return
    this.nextLateAtMs = updateBacklogs(this.services, this.jobs.values(), nowMs)
    this.hasUncountedChanges = false
  }

  private onCallSent (service: StageService, call: StageCall): void {
    const upstream = service.upstreams.get(call.upstreamId)!
    upstream.callsInFlight++
    upstream.busyUntilMs = call.sentAtMs + call.expectedMs
    upstream.lastCallAtMs = call.sentAtMs
    service.recordSentPieces(call.pieceRefs.length, call.sentAtMs)
    this.hasUncountedChanges = true
    const states = new Set<JobState>()
    for (const { task, pieceIndex } of call.pieceRefs) {
      if (task.pendingPieces.length === task.work.pieceCount && task.jobState.job.targetAtMs > call.sentAtMs) service.observeWait(call.sentAtMs - task.readyAtMs)
      task.startPiece(pieceIndex, call.sentAtMs)
      if (!task.jobState.hasStarted) recordJobStart(task.jobState, this.services)
      this.services.get(task.work.service)!.backlog.started--
      if (task.work.after.length > 0) this.resultTracker.addFetchingTask(task)
      upstream.reservedResultBytes += task.work.resultBytes
      states.add(task.jobState)
    }
    for (const state of states) updateReadyTasks(state, this.services, call.sentAtMs)
  }

  private onPieceResult (call: StageCall, task: StageTask, pieceIndex: number, result: StagePieceResult, nowMs: number): void {
    if ('handle' in result) {
      if (task.jobState.isEnded) return this.resultTracker.addRelease(call.service, call.upstreamId, result.handle, task.work.resultBytes)
      const failureDomain = this.services.get(call.service)!.upstreams.get(call.upstreamId)?.failureDomain
      task.addResult({ pieceIndex, handle: result.handle, upstreamId: call.upstreamId, failureDomain, madeAtMs: nowMs })
      return
    }
    this.resultTracker.releaseMemory(call.service, call.upstreamId, task.work.resultBytes)
    if (task.jobState.isEnded) return
    if (result.failure === 'late') return this.endJob(task.jobState, { type: 'failed', reason: 'deadline passed in a stage' })
    if (result.failure === 'input-gone') this.releaseLostInputs(task, nowMs)
    if (result.failure === 'no-room') {
      const upstream = this.services.get(call.service)!.upstreams.get(call.upstreamId)
      if (upstream !== undefined) {
        upstream.pausedUntilMs = Math.max(upstream.pausedUntilMs, nowMs + stageConstants.memoryFullPauseMs)
      }
    }
    this.retryPiece(task, pieceIndex, nowMs)
  }

  private retryPiece (task: StageTask, pieceIndex: number, nowMs: number): void {
    const { jobState } = task
    if (jobState.isEnded) return
    jobState.pieceFailures++
    if (jobState.pieceFailures > stageConstants.maxPieceFailures * task.work.pieceCount) return this.endJob(jobState, { type: 'failed', reason: `stage ${task.work.service} failed` })
    task.retryPiece(pieceIndex)
    if (retryInputs(jobState)) this.onInputsRetried(jobState, nowMs)
    // The results of its input stages may have come back while all its pieces were in calls.
    else if (!task.isReady) updateReadyTasks(jobState, this.services, nowMs)
  }

  /**
   * An upstream lacks inputs of the task: those of lost upstreams and old ones are lost, or all when it is unknown which
   * ones.
   */
  private releaseLostInputs (task: StageTask, nowMs: number): void {
    const inputs = task.jobState.listInputTasks(task)
    if (!inputs.every(input => input.isDone())) return
    if (this.retryLostResults(task.jobState, nowMs) > 0) return
    for (const input of inputs) this.resultTracker.releaseTask(input)
  }

  private retryLostResults (state: JobState, nowMs: number): number {
    const count = retryLostResults(state, { services: this.services, resultTracker: this.resultTracker, nowMs })
    if (count === 0) return 0
    this.lostResults += count
    this.hasUncountedChanges = true
    this.onInputsRetried(state, nowMs)
    return count
  }

  private onInputsRetried (state: JobState, nowMs: number): void {
    state.retries++
    if (state.retries > stageConstants.maxJobRetries) {
      return this.endJob(state, { type: 'failed', reason: 'stage results were lost' })
    }
    updateReadyTasks(state, this.services, nowMs)
  }

  private updateJob (state: JobState, nowMs: number): void {
    if (state.isEnded) return
    if (!state.isDone()) return updateReadyTasks(state, this.services, nowMs)
    state.doneAtMs = nowMs
    // A failed call is no error of the estimate.
    if (state.expectedMs !== undefined && !state.hasFailedCall) this.margin.observe(nowMs - state.startedAtMs - state.expectedMs, nowMs)
    const outputs = state.listOutputTasks()
    this.releaseInputs(state, outputs)
    this.endedJobs.push({
      jobId: state.job.id,
      outcome: {
        type: 'completed',
        outputs: outputs.map(task => ({ index: task.work.index, handles: task.listHandles() })),
        outputDomain: findLargestDomain(outputs, this.services)
      }
    })
  }

  /** Queues pieces again whose results were lost with their upstreams or have expired. */
  private retryLostJobs (nowMs: number): void {
    for (const state of this.jobs.values()) {
      if (state.isEnded || state.doneAtMs !== undefined) continue
      if (this.hasLostUpstreams || hasOldResults(state, this.services, nowMs)) this.retryLostResults(state, nowMs)
    }
    this.hasLostUpstreams = false
  }

  /** Fails jobs that cannot meet their deadline, and removes completed jobs that were never released. */
  private endExpiredJobs (nowMs: number): void {
    for (const state of this.jobs.values()) {
      if (state.doneAtMs !== undefined && nowMs - state.doneAtMs >= stageConstants.maxResultAgeMs) this.removeJob(state)
      else if (state.isOutOfTime(nowMs)) {
        this.endJob(state, { type: 'failed', reason: 'deadline cannot be met by the stages' })
      }
    }
  }

  private endJob (state: JobState, outcome: StageOutcome): void {
    this.removeJob(state)
    this.endedJobs.push({ jobId: state.job.id, outcome })
  }

  private removeJob (state: JobState): void {
    state.isEnded = true
    this.hasUncountedChanges = true
    if (this.jobs.get(state.job.id) === state) this.jobs.delete(state.job.id)
    for (const task of state.tasks.values()) {
      task.endTurn()
      this.resultTracker.releaseTask(task)
    }
  }

  private releaseInputs (state: JobState, outputs: readonly StageTask[]): void {
    for (const task of state.tasks.values()) {
      if (!outputs.includes(task)) this.resultTracker.releaseTask(task)
    }
  }
}
