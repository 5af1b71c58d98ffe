import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { UpstreamError } from '../upstreams/upstreamError.js'
import { requestConstants } from './constants.js'
import { RequestError } from './requestError.js'
import type { StageAttempt } from './stageAttempt.js'
import type { StageResult } from './stageResult.js'
import type { StageRunOptions } from './stageRunOptions.js'

interface ActiveAttempt {
  readonly callId: string
  readonly upstreamId: string
  readonly startedMs: number
  readonly isResumed: boolean
  handle: StageAttempt | undefined
  tokenCount: number
  /** Time of the last progress report to the router. */
  lastProgressReportMs: number
}

/**
 * Executes one stage. Attempts run concurrently only as hedges or after the stage's budget has elapsed. The first
 * attempt to deliver a result or tokens is chosen, and the others are cancelled.
 */
export class StageRun {
  private readonly active = new Set<ActiveAttempt>()
  /** Upstreams of all attempts so far. */
  private readonly triedUpstreams = new Set<string>()
  /** Upstreams that refused an attempt with `not_run`; they are not tried again. */
  private readonly refusingUpstreams = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []
  private chosenAttempt: ActiveAttempt | undefined
  private startedAttemptCount = 0
  private mayHaveRun = false
  private isSettled = false
  private startedMs = 0
  private resolve: (result: StageResult) => void = () => {}
  private reject: (error: unknown) => void = () => {}

  constructor (private readonly options: StageRunOptions) {}

  /** Rejects with `RequestError`, `UpstreamError` or the reason of `signal`. */
  async run (signal: AbortSignal): Promise<StageResult> {
    signal.throwIfAborted()
    this.startedMs = this.options.clock.readMonotonicMs()
    const result = new Promise<StageResult>((resolve, reject) => {
      this.resolve = resolve
      this.reject = reject
    })
    const onAbort = (): void => this.settle(() => this.reject(signal.reason), signal.reason instanceof RequestError && signal.reason.code === requestConstants.supersededCode)
    signal.addEventListener('abort', onAbort)
    const { resumedStream } = this.options
    if (resumedStream !== undefined) this.startAttempt(resumedStream.upstreamId, resumedStream.streamId, resumedStream.offset)
    else if (!this.startNextAttempt()) this.waitForCapacity(undefined)
    try {
      return await result
    } finally {
      signal.removeEventListener('abort', onAbort)
    }
  }

  /**
   * Returns false when no attempt can be started. When no untried upstream is available, a retry may go to a tried
   * one over a new connection.
   */
  private startNextAttempt (isRetry = false): boolean {
    const { router, work, clock, isAtMostOnce } = this.options
    if (this.startedAttemptCount >= requestConstants.maxAttemptsPerStage) return false
    const nowMs = clock.readMonotonicMs()
    const choice = router.route(work, this.triedUpstreams, nowMs) ?? (isRetry && !isAtMostOnce ? router.route(work, this.refusingUpstreams, nowMs) : undefined)
    if (choice === undefined) return false
    if (this.triedUpstreams.has(choice.upstreamId)) this.options.onUpstreamRetry(choice.upstreamId)
    const attemptNumber = this.startedAttemptCount + 1
    if (!isAtMostOnce && choice.hedgeAfterMs !== undefined) {
      this.scheduleHedge(choice.hedgeAfterMs)
    }
    if (!isAtMostOnce) {
      // Starts another attempt when the stage's budget has elapsed and no other one has started since.
      this.schedule(this.options.computeBudget(choice.predictedMs), () => {
        if (this.startedAttemptCount === attemptNumber && router.admitRetry(work, clock.readMonotonicMs())) this.startNextAttempt(true)
      })
    }
    this.startAttempt(choice.upstreamId, this.options.buildCallId())
    return true
  }

  /**
   * The router holds back long work that would take the last free capacity of the engines, so a generation asks again
   * until the request's deadline. Other work is refused immediately.
   */
  private waitForCapacity (error: UpstreamError | undefined): void {
    const hasAttempts = this.startedAttemptCount < requestConstants.maxAttemptsPerStage
    const canWait = this.options.work.operation === 'generate' && hasAttempts && this.computePauseMs() === undefined
    if (!canWait) return this.settleWithError(error)
    this.schedule(requestConstants.capacityPollMs, () => {
      if (!this.startNextAttempt()) this.waitForCapacity(error)
    })
  }

  /** The router refuses a hedge while the running attempt makes normal progress, so it is asked again. */
  private scheduleHedge (delayMs: number): void {
    const { router, work, clock } = this.options
    this.schedule(delayMs, () => {
      if (this.active.size !== 1 || this.startedAttemptCount >= requestConstants.maxAttemptsPerStage) return
      if (router.admitHedge(work, clock.readMonotonicMs())) this.startNextAttempt()
      else this.scheduleHedge(requestConstants.hedgePollMs)
    })
  }

  private startAttempt (upstreamId: string, callId: string, resumeOffset?: number): void {
    const { router, work, clock } = this.options
    const startedMs = clock.readMonotonicMs()
    const attempt: ActiveAttempt = { callId, upstreamId, startedMs, isResumed: resumeOffset !== undefined, handle: undefined, tokenCount: 0, lastProgressReportMs: -Infinity }
    this.startedAttemptCount++
    this.triedUpstreams.add(upstreamId)
    this.active.add(attempt)
    router.onSent(upstreamId, work, startedMs)
    attempt.handle = this.options.startAttempt(upstreamId, callId, {
      onTokens: literals => this.receiveTokens(attempt, literals),
      onDone: output => this.receiveResult(attempt, output),
      onFailed: error => this.handleFailure(attempt, error)
    }, resumeOffset)
  }

  private receiveTokens (attempt: ActiveAttempt, literals: readonly string[]): void {
    if (this.isSettled || !this.active.has(attempt)) return
    if (this.chosenAttempt !== attempt) this.chooseAttempt(attempt)
    attempt.tokenCount += literals.length
    this.options.onTokens(literals)
    const nowMs = this.options.clock.readMonotonicMs()
    if (nowMs - attempt.lastProgressReportMs < requestConstants.progressIntervalMs) return
    attempt.lastProgressReportMs = nowMs
    this.options.router.onProgress(attempt.upstreamId, this.options.work, attempt.tokenCount, nowMs)
  }

  private receiveResult (attempt: ActiveAttempt, output: unknown): void {
    if (this.isSettled || !this.active.has(attempt)) return
    if (this.chosenAttempt !== attempt) this.chooseAttempt(attempt)
    this.closeAttempt(attempt, 'completed')
    const elapsedMs = this.options.clock.readMonotonicMs() - this.startedMs
    this.settle(() => this.resolve({ output, upstreamId: attempt.upstreamId, elapsedMs }))
  }

  private chooseAttempt (attempt: ActiveAttempt): void {
    this.chosenAttempt = attempt
    this.stopTimers()
    for (const other of this.active) if (other !== attempt) this.cancelAttempt(other, false)
    this.options.onAttemptChosen(attempt.upstreamId, attempt.callId, attempt.isResumed)
  }

  private handleFailure (attempt: ActiveAttempt, error: UpstreamError): void {
    if (!this.active.has(attempt)) return
    const hasNotRun = error.ran === 'not_run'
    const hasFailed = error.isProtocolError ? 'invalid' : 'failed'
    if (hasNotRun) this.refusingUpstreams.add(attempt.upstreamId)
    else this.mayHaveRun = true
    this.closeAttempt(attempt, hasNotRun ? 'refused' : hasFailed)
    if (this.isSettled || this.active.size > 0) return
    this.stopTimers()
    this.chosenAttempt = undefined
    if (!this.isRetryable(error)) return this.settleWithError(error)
    if (!this.startNextAttempt(!hasNotRun)) this.waitForCapacity(error)
  }

  private isRetryable (error: UpstreamError): boolean {
    const { isAtMostOnce, router, work, clock } = this.options
    if (isAtMostOnce) return !error.sent && error.code !== 'upstream_not_sent'
    // Work lost with a dead upstream is repeated without using the retry budget, which limits only additional work.
    const isReplacement = error.ran === 'not_run' || error.code === 'upstream_gone'
    return isReplacement || router.admitRetry(work, clock.readMonotonicMs())
  }

  private settleWithError (error: UpstreamError | undefined): void {
    if (this.options.isAtMostOnce && error !== undefined) {
      const ran = error.ran
      this.settle(() => this.reject(new RequestError(error.code, error.message, ran === 'not_run' ? 503 : 502, ran)))
      return
    }
    const ran = this.mayHaveRun ? 'unknown' : 'not_run'
    const pool = this.options.work.pool
    const failure = error === undefined || !this.mayHaveRun
      ? new RequestError('no_upstream_available', `no upstream of ${pool} takes the work`, 503, ran, {
        retryAfterMs: this.computePauseMs()
      })
      : new RequestError('upstream_failed', `${pool}: ${error.message}`, 502, ran)
    this.settle(() => this.reject(failure))
  }

  /** Time until an upstream takes work again while all are paused; undefined while one takes it. */
  private computePauseMs (): number | undefined {
    return this.options.router.computePauseMs(this.options.work.pool, this.options.clock.readMonotonicMs())
  }

  /** With `isTakenOver`, the work on the upstream continues, because the request's new owner resumes its stream. */
  private cancelAttempt (attempt: ActiveAttempt, isTakenOver: boolean): void {
    if (isTakenOver) attempt.handle?.close()
    else attempt.handle?.cancel()
    this.closeAttempt(attempt, 'cancelled')
  }

  private closeAttempt (attempt: ActiveAttempt, outcome: AttemptOutcome): void {
    if (!this.active.delete(attempt)) return
    const nowMs = this.options.clock.readMonotonicMs()
    this.options.router.onEnded(attempt.upstreamId, this.options.work, outcome, nowMs - attempt.startedMs, nowMs)
  }

  private settle (settlePromise: () => void, isTakenOver = false): void {
    if (this.isSettled) return
    this.isSettled = true
    this.stopTimers()
    for (const attempt of this.active) this.cancelAttempt(attempt, isTakenOver)
    settlePromise()
  }

  /** Runs `task` after `delayMs`, unless the stage has settled or an attempt has been chosen by then. */
  private schedule (delayMs: number, task: () => void): void {
    this.timers.push(setTimeout(() => {
      if (!this.isSettled && this.chosenAttempt === undefined) task()
    }, delayMs).unref())
  }

  private stopTimers (): void {
    this.timers.forEach(clearTimeout)
    this.timers.length = 0
  }
}
