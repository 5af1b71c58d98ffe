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
  readonly resumed: boolean
  handle: StageAttempt | undefined
  tokens: number
  /** Time of the last report of progress. */
  reportedMs: number
}

/**
 * One execution of one stage. Attempts run side by side only as hedges or after the stage's budget; the
 * first result, or the first tokens, win and the other attempts are cancelled.
 */
export class StageRun {
  private readonly active = new Set<ActiveAttempt>()
  /** Upstreams that were tried. */
  private readonly excluded = new Set<string>()
  /** Upstreams that ran nothing; they are not tried again. */
  private readonly refused = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []
  private leader: ActiveAttempt | undefined
  private startedAttempts = 0
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
    else if (!this.startNextAttempt()) this.waitForRoom(undefined)
    try {
      return await result
    } finally {
      signal.removeEventListener('abort', onAbort)
    }
  }

  /** Without another upstream, a retry may go to one that was tried before, over a new connection. */
  private startNextAttempt (isRetry = false): boolean {
    const { router, work, clock, isAtMostOnce } = this.options
    if (this.startedAttempts >= requestConstants.maxAttemptsPerStage) return false
    const nowMs = clock.readMonotonicMs()
    const choice = router.route(work, this.excluded, nowMs) ?? (isRetry && !isAtMostOnce ? router.route(work, this.refused, nowMs) : undefined)
    if (choice === undefined) return false
    if (this.excluded.has(choice.upstreamId)) this.options.onUpstreamReuse(choice.upstreamId)
    const number = this.startedAttempts + 1
    if (!isAtMostOnce && choice.hedgeAfterMs !== undefined) {
      this.scheduleHedge(choice.hedgeAfterMs)
    }
    if (!isAtMostOnce) {
      this.schedule(this.options.computeBudget(choice.predictedMs), () => {
        if (this.startedAttempts === number && router.admitRetry(work, clock.readMonotonicMs())) this.startNextAttempt(true)
      })
    }
    this.startAttempt(choice.upstreamId, this.options.buildCallId())
    return true
  }

  /**
   * The router keeps long work back while it would take the last room of the runners, so a generation asks
   * again until the deadline of the request ends it. Other work is refused at once.
   */
  private waitForRoom (error: UpstreamError | undefined): void {
    const canWait = this.options.work.operation === 'generate' && this.startedAttempts < requestConstants.maxAttemptsPerStage
    if (!canWait) return this.refuse(error)
    this.schedule(requestConstants.capacityPollMs, () => {
      if (!this.startNextAttempt()) this.waitForRoom(error)
    })
  }

  /** The router says no while the running attempt makes usual progress, so it is asked again. */
  private scheduleHedge (delayMs: number): void {
    const { router, work, clock } = this.options
    this.schedule(delayMs, () => {
      if (this.active.size !== 1 || this.startedAttempts >= requestConstants.maxAttemptsPerStage) return
      if (router.admitHedge(work, clock.readMonotonicMs())) this.startNextAttempt()
      else this.scheduleHedge(requestConstants.hedgePollMs)
    })
  }

  private startAttempt (upstreamId: string, callId: string, resumeOffset?: number): void {
    const { router, work, clock } = this.options
    const startedMs = clock.readMonotonicMs()
    const attempt: ActiveAttempt = { callId, upstreamId, startedMs, resumed: resumeOffset !== undefined, handle: undefined, tokens: 0, reportedMs: -Infinity }
    this.startedAttempts++
    this.excluded.add(upstreamId)
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
    if (this.leader !== attempt) this.setLeader(attempt)
    attempt.tokens += literals.length
    this.options.onTokens(literals)
    const nowMs = this.options.clock.readMonotonicMs()
    if (nowMs - attempt.reportedMs < requestConstants.progressIntervalMs) return
    attempt.reportedMs = nowMs
    this.options.router.onProgress(attempt.upstreamId, this.options.work, attempt.tokens, nowMs)
  }

  private receiveResult (attempt: ActiveAttempt, output: unknown): void {
    if (this.isSettled || !this.active.has(attempt)) return
    if (this.leader !== attempt) this.setLeader(attempt)
    this.closeAttempt(attempt, 'completed')
    const elapsedMs = this.options.clock.readMonotonicMs() - this.startedMs
    this.settle(() => this.resolve({ output, upstreamId: attempt.upstreamId, elapsedMs }))
  }

  private setLeader (attempt: ActiveAttempt): void {
    this.leader = attempt
    this.stopTimers()
    for (const other of this.active) if (other !== attempt) this.cancelAttempt(other, false)
    this.options.onAttemptChosen(attempt.upstreamId, attempt.callId, attempt.resumed)
  }

  private handleFailure (attempt: ActiveAttempt, error: UpstreamError): void {
    if (!this.active.has(attempt)) return
    const hasNotRun = error.ran === 'not_run'
    if (hasNotRun) this.refused.add(attempt.upstreamId)
    else this.mayHaveRun = true
    this.closeAttempt(attempt, hasNotRun ? 'refused' : 'failed')
    if (this.isSettled || this.active.size > 0) return
    this.stopTimers()
    this.leader = undefined
    if (!this.isRetryable(error)) return this.refuse(error)
    if (!this.startNextAttempt(!hasNotRun)) this.waitForRoom(error)
  }

  private isRetryable (error: UpstreamError): boolean {
    const { isAtMostOnce, router, work, clock } = this.options
    if (isAtMostOnce) return !error.sent && error.code !== 'upstream_not_sent'
    // What a dead upstream was doing has to be done again once; the retry budget bounds additional work.
    const isReplacement = error.ran === 'not_run' || error.code === 'upstream_gone'
    return isReplacement || router.admitRetry(work, clock.readMonotonicMs())
  }

  private refuse (error: UpstreamError | undefined): void {
    if (this.options.isAtMostOnce && error !== undefined) {
      const ran = error.ran
      this.settle(() => this.reject(new RequestError(error.code, error.message, ran === 'not_run' ? 503 : 502, ran)))
      return
    }
    const ran = this.mayHaveRun ? 'unknown' : 'not_run'
    const pool = this.options.work.pool
    const failure = error === undefined || !this.mayHaveRun
      ? new RequestError('no_upstream_available', `no upstream of ${pool} takes the work`, 503, ran)
      : new RequestError('upstream_failed', `${pool}: ${error.message}`, 502, ran)
    this.settle(() => this.reject(failure))
  }

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

  private settle (report: () => void, isTakenOver = false): void {
    if (this.isSettled) return
    this.isSettled = true
    this.stopTimers()
    for (const attempt of this.active) this.cancelAttempt(attempt, isTakenOver)
    report()
  }

  private schedule (delayMs: number, task: () => void): void {
    this.timers.push(setTimeout(() => {
      if (!this.isSettled && this.leader === undefined) task()
    }, delayMs).unref())
  }

  private stopTimers (): void {
    this.timers.forEach(clearTimeout)
    this.timers.length = 0
  }
}
