import { AttemptObserver } from './attemptObserver.js'
import { buildStageJob } from './buildStageJob.js'
import { chooseTarget } from './chooseTarget.js'
import { computeRequestPriority } from './computeRequestPriority.js'
import { computeTrialRetryMs } from '../crashes/computeTrialRetryMs.js'
import { computeStallTimeoutMs } from './computeStallTimeoutMs.js'
import { decideNextAttempt } from './decideNextAttempt.js'
import { engineConstants } from '../engines/constants.js'
import { findEngineRefusal } from './findEngineRefusal.js'
import { ingressConstants } from './constants.js'
import { RequestPlacement } from './requestPlacement.js'
import { sendAttempt } from './sendAttempt.js'
import { SuspectRequest } from '../crashes/suspectRequest.js'
import type { AttemptDecision } from './attemptDecision.js'
import type { AttemptResult } from './attemptResult.js'
import type { ChosenUpstream } from './chosenUpstream.js'
import type { SuspectRefusal } from '../crashes/suspectRefusal.js'
import type { SuspectTrial } from '../crashes/suspectTrial.js'
import type { RequestRunOptions } from './requestRunOptions.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

const noRelease = (): void => {}

/** Handles one request: runs its stages, then sends it to upstreams until it has a final response. */
export class RequestRun {
  private readonly controller = new AbortController()
  private readonly service: string
  private readonly placement: RequestPlacement
  /** Attempts that sent the request, including the one in progress. */
  private sentCount = 0
  /** Attempts that got no connection. */
  private unsentCount = 0
  /** Runs of the stages, counted also when the request has no stage work. */
  private stageRuns = 0
  private releaseInputs = noRelease
  private readonly suspect: SuspectRequest
  /** Set when the request is the trial of what is refused in it. */
  private trial: SuspectTrial | undefined
  /** Whether an upstream was sent the request and did not state that it was not run. */
  private mayHaveRun = false
  /** Measures the last attempt; undefined before the first one. */
  private observer: AttemptObserver | undefined
  /** Id of the last event that the client has. */
  private lastEventId: string | undefined
  /** Software version of the upstream that began the stream; undefined before its first event. */
  private streamVersion: string | undefined

  constructor (private readonly options: RequestRunOptions, private readonly dependencies: RequestRunDependencies) {
    // A stream goes on at the service that began it.
    this.service = chooseTarget(options.route.targets, options.request.resumedId ?? options.request.id)
    this.placement = new RequestPlacement(this.service, options, dependencies)
    this.lastEventId = options.request.lastEventId
    this.suspect = new SuspectRequest(options.request, options.account, options.body)
  }

  /** Whether an upstream was sent the request and may have run it. */
  get isPassedOn (): boolean {
    return this.mayHaveRun
  }

  /** Resolves when the request has its final response or its client has disconnected. */
  async run (): Promise<void> {
    const timeLeftMs = this.options.deadlineAtMs - this.dependencies.clock.readMonotonicMs()
    let timer = setTimeout(() => {
      if (!this.options.response.hasStarted) return this.endNow('deadline')
      // The end of a stream that goes on is no response, so nothing is gained before the client stops waiting.
      timer = setTimeout(() => { this.endNow('deadline') }, ingressConstants.responseMarginMs)
    }, Math.max(timeLeftMs, 0))
    try {
      const isAdmitted = await this.admitSuspect() && await this.admitResumption() &&
        this.admitAfterBackoff() && this.admitWithinLimits() && this.admitByEngines()
      if (isAdmitted && await this.runStages()) await this.runAttempts()
    } finally {
      clearTimeout(timer)
      this.releaseInputs()
      this.placement.release()
      if (this.trial !== undefined) await this.dependencies.crashGuard.endTrial(this.trial)
    }
  }

  /** Cancels the request because its client has closed the connection. */
  cancel (): void {
    if (this.options.response.isEnded) return
    this.record('client left', { elapsedMs: this.computeElapsedMs() })
    this.options.response.closeIncomplete('the client left')
    this.controller.abort()
  }

  /** Ends the request with an error response, or by closing a stream that has started; `reason` is logged. */
  endNow (reason: string): void {
    const { response } = this.options
    if (response.isEnded) return
    this.record('request timed out', { reason, elapsedMs: this.computeElapsedMs(), mayHaveRun: this.mayHaveRun, sentCount: this.sentCount })
    this.dependencies.metrics.addCount('requests_ended', { route: this.options.route.callKind, action: 'timed-out' })
    if (response.hasStarted) response.closeIncomplete(reason)
    else if (this.mayHaveRun) response.writeError(504, 'deadline_exceeded', 'no answer before the deadline')
    else this.refuse('no upstream before the deadline', ingressConstants.busyRetryAfterMs)
    // To cancel takes longer than to answer, and the deadlines of requests that arrive together are the same.
    setImmediate(() => { this.controller.abort() })
  }

  /** Resolves to whether the request may be sent after upstreams have ended under it; refuses it otherwise. */
  private async admitSuspect (): Promise<boolean> {
    const admission = await this.dependencies.crashGuard.admit(this.suspect)
    if (admission.type === 'refused') {
      this.refuseSuspect(admission.refusal)
      return false
    }
    this.trial = admission.trial
    return !this.controller.signal.aborted && !this.options.response.isEnded
  }

  /**
   * Finds out at which software version a stream began that the request resumes. Refuses it when this is not known or no
   * upstream of that version is usable: another version would not continue the same text.
   */
  private async admitResumption (): Promise<boolean> {
    const { request, response } = this.options
    if (!this.isResumable() || request.lastEventId === undefined || request.resumedId === undefined) return true
    const { streamVersions, directory, metrics } = this.dependencies
    const origin = await streamVersions.findOrigin(this.service, request.resumedId, this.controller.signal)
    if (this.controller.signal.aborted || response.isEnded) return false
    const isServed = origin.type === 'known' && directory.listUsable(this.service, origin.version).length > 0
    metrics.addCount('streams_resumed', { outcome: origin.type === 'unknown' ? 'unknown' : isServed ? 'admitted' : 'not served' })
    this.record('stream resumed', { resumedId: request.resumedId, lastEventId: request.lastEventId, isServed, ...origin })
    if (origin.type === 'unknown') {
      this.refuse(`the version that began the stream is not known: ${origin.reason}`, ingressConstants.busyRetryAfterMs)
    } else if (!isServed) {
      this.refuse(`no upstream of version ${origin.version}, which began the stream`, ingressConstants.busyRetryAfterMs)
    } else this.streamVersion = origin.version
    return isServed
  }

  /** Resolves to whether the stream may begin at the upstream. */
  private async admitStreamStart ({ entry }: UpstreamState): Promise<boolean> {
    if (!this.isResumable() || this.streamVersion !== undefined) return true
    return await this.dependencies.streamVersions.admitStart(this.service, this.options.request.id, entry.version)
  }

  /** Refuses the request before its stages run when all upstreams of the service have asked for a pause. */
  private admitAfterBackoff (): boolean {
    const waitMs = this.dependencies.directory.computeBackoffWaitMs(this.service)
    if (waitMs > 0) this.refuse('all upstreams have asked to back off or are held back', waitMs)
    return waitMs === 0
  }

  /**
   * Refuses the request before its stages run, whose work would be wasted, when upstreams have named limits and none of
   * the service has room. When only limited ones have, takes a place at one of them.
   */
  private admitWithinLimits (): boolean {
    const isAdmitted = this.placement.admitWithinLimits(this.findRequiredVersion())
    if (!isAdmitted) this.refuse('limits of all upstreams are reached', this.computeRetryMs())
    return isAdmitted
  }

  /** Refuses the request before its stages run, whose work would be wasted, when the engines cannot take it. */
  private admitByEngines (): boolean {
    const { directory, capacities, clock, metrics } = this.dependencies
    const { route, deadlineAtMs } = this.options
    if (route.callKind !== 'stream') return true
    const nowMs = clock.readMonotonicMs()
    const refusal = findEngineRefusal({
      ...this.options,
      service: this.service,
      engines: directory.listUsable(this.service, this.findRequiredVersion()),
      timeLeftMs: deadlineAtMs - nowMs,
      findDigest: () => this.suspect.hash
    }, capacities, nowMs, true)
    if (refusal === undefined) return true
    metrics.addCount(refusal.metric, refusal.labels)
    this.record(refusal.logMessage, { service: this.service, ...refusal.figures })
    this.refuse(refusal.reason, refusal.retryAfterMs)
    return false
  }

  /** Time until an upstream of the service takes requests again, as far as it is known. */
  private computeRetryMs (): number {
    const { directory } = this.dependencies
    const backoffWaitMs = directory.computeBackoffWaitMs(this.service)
    if (backoffWaitMs > 0) return backoffWaitMs
    const waitMs = directory.computeServiceWaitMs(this.service)
    return Math.min(Math.max(waitMs, ingressConstants.busyRetryAfterMs), ingressConstants.maxLimitRetryAfterMs)
  }

  private refuseSuspect (refusal: SuspectRefusal): void {
    const isPart = refusal.kind === 'part'
    const reason = isPart ? `upstreams ended on part ${refusal.id} of the prompt` : 'upstreams ended under this request'
    this.refuse(reason, computeTrialRetryMs(refusal), isPart ? 'prompt_refused' : 'request_refused')
  }

  /** Runs the stages of the request. Resolves to whether the request can now be sent to an upstream. */
  private async runStages (): Promise<boolean> {
    const { route, response } = this.options
    const job = buildStageJob(this.options, {
      attempt: this.stageRuns,
      engineService: route.callKind === 'stream' ? this.service : undefined,
      reserveMs: this.dependencies.firstEventTimes.getReserveMs(route.name)
    })
    this.stageRuns++
    if (job === undefined) return true
    this.releaseInputs()
    const { outcome, release, reportFirstEvent } = await this.dependencies.stages.runStages(job, this.controller.signal)
    this.releaseInputs = release
    if (this.controller.signal.aborted || response.isEnded) return false
    if (outcome.type === 'completed') {
      this.placement.applyStageOutcome(outcome, reportFirstEvent)
      return true
    }
    const retryAfterMs = outcome.type === 'refused' ? outcome.retryAfterMs : ingressConstants.busyRetryAfterMs
    this.refuse(`stages ${outcome.type}: ${outcome.reason}`, retryAfterMs)
    return false
  }

  private async runAttempts (): Promise<void> {
    const { crashGuard } = this.dependencies
    const { response } = this.options
    for (;;) {
      // Other requests may have shown since the admission that this one ends upstreams.
      const refusal = crashGuard.findRefusal(this.suspect, this.trial)
      if (refusal !== undefined) return this.refuseSuspect(refusal)
      const chosen = this.placement.chooseUpstream(this.findRequiredVersion())
      if (chosen === undefined) return this.refuse('no upstream is free', this.computeRetryMs())
      const { upstream } = chosen
      if (!await this.admitStreamStart(upstream)) {
        return this.refuse('the version of the stream cannot be recorded', ingressConstants.busyRetryAfterMs)
      }
      if (this.controller.signal.aborted || response.isEnded) return
      const result = await this.runAttempt(chosen)
      if (result.type === 'answer' && result.head.isSigned) crashGuard.onAnswered(this.suspect)
      if (result.type === 'uncertain' && result.isConnectionLost === true && this.observer?.hasEvents === false) {
        await crashGuard.onConnectionLost(upstream.entry, this.suspect, result.hasUpstreamEnded)
      }
      const decision = this.decide(result, upstream)
      this.record('attempt ended', {
        upstream: upstream.entry.id,
        upstreamVersion: upstream.entry.version,
        service: this.service,
        resumedId: this.options.request.resumedId,
        lastEventId: this.lastEventId,
        attempt: this.sentCount,
        result: result.type,
        status: result.type === 'answer' ? result.head.status : undefined,
        longestPauseMs: result.type === 'streamed' ? result.longestPauseMs : undefined,
        reason: findReason(result),
        action: decision.action,
        relayedBy: this.observer?.relayedBy,
        elapsedMs: this.computeElapsedMs(),
        configurationVersion: this.options.configurationVersion,
        ...result.type === 'uncertain' ? this.describeRequest() : {}
      })
      if (decision.action === 'run-stages-again' && await this.runStages()) continue
      if (decision.action === 'send-again') {
        if (result.type === 'not-run' && !result.wasSent) await this.dependencies.waitForPath()
        if (!response.isEnded) continue
        return
      }
      this.end(decision, result)
      return await response.registerUnread(this.dependencies.answerMemory, upstream.entry.id)
    }
  }

  private decide (result: AttemptResult, upstream: UpstreamState): AttemptDecision {
    const { route, deadlineAtMs } = this.options
    const nowMs = this.dependencies.clock.readMonotonicMs()
    return decideNextAttempt({
      result,
      isRepeatable: this.isRepeatable(),
      sentCount: this.sentCount,
      unsentCount: this.unsentCount,
      maxAttempts: route.maxAttempts,
      stageRuns: this.stageRuns,
      timeLeftMs: deadlineAtMs - nowMs,
      isRationed: this.dependencies.directory.isRationed(upstream),
      takeRetry: () => this.dependencies.retryBudget.takeRetry(this.service, nowMs)
    })
  }

  private end (decision: AttemptDecision, result: AttemptResult): void {
    const { response, request } = this.options
    // In the middle of a stream, only the missing end can show the client a failure.
    if (response.hasStarted) response.closeIncomplete(findReason(result) ?? decision.action)
    if (decision.action === 'deliver' && result.type === 'answer') response.writeUpstreamResponse(result.head, result.body, request.method)
    if (decision.action === 'refuse') this.refuse(decision.reason, this.computeRetryMs())
    if (decision.action === 'fail') response.writeError(502, 'upstream_failed', decision.reason)
    this.dependencies.metrics.addCount('requests_ended', { route: this.options.route.callKind, action: decision.action })
    this.dependencies.metrics.recordDuration('request', { route: this.options.route.callKind }, this.computeElapsedMs())
  }

  private async runAttempt (chosen: ChosenUpstream): Promise<AttemptResult> {
    const { request, route, account, body, response, deadlineAtMs } = this.options
    const { upstream } = chosen
    const nowMs = this.dependencies.clock.readMonotonicMs()
    const mayHaveRunBefore = this.mayHaveRun
    this.sentCount++
    this.mayHaveRun = true
    if (this.sentCount === 1) this.dependencies.retryBudget.recordRequest(this.service, nowMs)
    this.placement.onSent(upstream, nowMs)
    const observer = new AttemptObserver(chosen, route, this.dependencies)
    this.observer = observer
    const releaseTimer = setTimeout(() => { this.releaseFetchedInputs() }, engineConstants.inputFetchMs)
    const result = await sendAttempt({
      upstream,
      exchange: {
        method: request.method,
        path: request.target,
        headers: this.dependencies.encodeHeaders(request, {
          upstreamId: upstream.entry.id,
          timeLeftMs: deadlineAtMs - nowMs,
          accountName: account?.name,
          lastEventId: this.lastEventId,
          priority: route.callKind === 'stream' ? computeRequestPriority(route, account) : undefined,
          inputs: this.placement.inputs
        }),
        body: body.length > 0 ? body : undefined,
        requestId: request.id
      },
      isStream: route.callKind === 'stream',
      lastEventId: this.lastEventId,
      response,
      answerMemory: this.dependencies.answerMemory,
      signal: this.controller.signal,
      clock: this.dependencies.clock,
      attemptTimeoutMs: this.computeAttemptTimeoutMs(upstream),
      stallTimeoutMs: computeStallTimeoutMs(route, this.isRepeatable()),
      onRelayed: hostId => { observer.relayedBy = hostId },
      onEvents: lastEventId => { this.onEvents(upstream, observer, lastEventId) }
    })
    observer.onEnd(result)
    clearTimeout(releaseTimer)
    if (result.type === 'not-run') {
      this.mayHaveRun = mayHaveRunBefore
      if (!result.wasSent) {
        this.sentCount--
        this.unsentCount++
        upstream.limit?.share.releaseToken()
      }
    }
    if (result.type === 'uncertain') {
      const labels = { route: route.callKind, hadEvents: String(observer.hasEvents) }
      this.dependencies.metrics.addCount('attempts_uncertain', labels)
    }
    return result
  }

  private onEvents (upstream: UpstreamState, observer: AttemptObserver, lastEventId: string | undefined): void {
    this.lastEventId = lastEventId ?? this.lastEventId
    if (!observer.onEvents()) return
    this.streamVersion ??= upstream.entry.version
    const nowMs = this.dependencies.clock.readMonotonicMs()
    this.dependencies.crashGuard.onAnswerBegan(this.suspect)
    this.releaseFetchedInputs()
    this.record('first event', {
      upstream: upstream.entry.id,
      sentMs: Math.round(nowMs - observer.sentAtMs),
      elapsedMs: this.computeElapsedMs(),
      aimLeftMs: Math.round(this.options.targetAtMs - nowMs)
    })
  }

  /** Releases the stage results, which the engine has fetched. */
  private releaseFetchedInputs (): void {
    this.releaseInputs()
    this.releaseInputs = noRelease
  }

  private findRequiredVersion (): string | undefined {
    if (!this.isResumable()) return undefined
    return this.streamVersion ?? this.dependencies.streamVersions.findRequiredVersion(this.service)
  }

  private isRepeatable (): boolean {
    return this.options.route.callKind === 'idempotent' || this.isResumable()
  }

  /** Whether the request is for a stream that may go on at another upstream. */
  private isResumable (): boolean {
    const { callKind, isResumable } = this.options.route
    return callKind === 'stream' && isResumable
  }

  /** Timeout of an attempt, after which a repeatable request is retried; undefined to wait until the deadline. */
  private computeAttemptTimeoutMs (upstream: UpstreamState): number | undefined {
    const { route, deadlineAtMs } = this.options
    if (!this.isRepeatable() || this.sentCount >= route.maxAttempts) return undefined
    if (route.callKind === 'stream') return engineConstants.firstEventTimeoutMs
    const leftMs = deadlineAtMs - this.dependencies.clock.readMonotonicMs()
    return Math.min(Math.max(upstream.computeDurationMs(this.dependencies.clock.readMonotonicMs()) * ingressConstants.attemptTimeoutFactor, ingressConstants.minAttemptTimeoutMs), leftMs / 2)
  }

  private refuse (reason: string, retryAfterMs: number, code = 'overloaded'): void {
    const { response, route } = this.options
    if (response.isEnded) return
    this.dependencies.metrics.addCount('requests_refused', { route: route.callKind, ran: this.mayHaveRun ? 'unknown' : 'not_run' })
    this.record('request refused', {
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      mayHaveRun: this.mayHaveRun,
      elapsedMs: this.computeElapsedMs()
    })
    // An earlier attempt may have run, so the response must not state that the request was not run.
    if (this.mayHaveRun && !this.isRepeatable()) return response.writeError(502, 'upstream_failed', reason)
    if (response.hasStarted) return response.closeIncomplete(reason)
    response.writeError(this.mayHaveRun ? 502 : 503, this.mayHaveRun ? 'upstream_failed' : code, reason, retryAfterMs)
  }

  private record (message: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
    this.dependencies.logger.recordInfo(message, { requestId: this.options.request.id, route: this.options.route.name, ...fields })
  }

  /** What requests that fail at the same upstream may have in common. */
  private describeRequest (): Readonly<Record<string, string | number | boolean | undefined>> {
    const { request, account, body } = this.options
    return {
      account: account?.name,
      requestHash: this.suspect.hash,
      bodyBytes: body.length,
      hadEvents: this.observer?.hasEvents,
      promptTokens: request.promptTokens,
      promptParts: request.promptParts.slice(0, ingressConstants.maxLoggedParts).map(part => part.id).join(' ')
    }
  }

  private computeElapsedMs (): number {
    return Math.round(this.dependencies.clock.readMonotonicMs() - this.options.arrivedAtMs)
  }
}

function findReason (result: AttemptResult): string | undefined {
  return result.type === 'not-run' || result.type === 'uncertain' ? result.reason : undefined
}
