import { setTimeout as waitTime } from 'node:timers/promises'
import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { AnswerEnd } from './answerEnd.js'
import { buildErrorEnd } from './buildErrorEnd.js'
import { requestConstants } from './constants.js'
import type { ExecutionReport } from './executionReport.js'
import { isFirstSubmission } from './isFirstSubmission.js'
import { resolveClaimOutcome } from './resolveClaimOutcome.js'
import { PipelineRun } from './pipelineRun.js'
import type { RegistrationResult } from './registrationResult.js'
import type { RequestEntry } from './requestEntry.js'
import { RequestError } from './requestError.js'
import type { RequestExecutorOptions } from './requestExecutorOptions.js'
import type { ResumeHint } from './resumeHint.js'
import type { Submission } from './submission.js'

/** Executes requests as their owner, or relays the answer from another owner and takes over when that owner is lost. */
export class RequestExecutor {
  private readonly pendingRecordings = new Set<Promise<void>>()
  private readonly reports = new WeakMap<RequestEntry, ExecutionReport>()

  constructor (private readonly options: RequestExecutorOptions) {}

  /**
   * Runs the request until its answer has ended. Never rejects; failures end the answer. `deadlineAtMs` is on the
   * monotonic clock.
   */
  async run (entry: RequestEntry, submission: Submission, deadlineAtMs: number): Promise<ExecutionReport> {
    try {
      const end = await this.runToCompletion(entry, submission, deadlineAtMs)
      if (end !== undefined) entry.close(end)
    } catch (error) {
      if (!(error instanceof RequestError)) this.options.logger.recordError('request failed', { requestId: submission.requestId, reason: String(error) })
      entry.close(buildErrorEnd(error))
    }
    entry.endActivity()
    const report = this.reports.get(entry) ?? {}
    this.reports.delete(entry)
    return report
  }

  /**
   * Relays the answer of a request that runs on host `ownerId`, for callers that know only the request id. Never
   * rejects.
   */
  async join (entry: RequestEntry, ownerId: string): Promise<void> {
    await this.joinOwner(entry, ownerId)
    entry.close({ kind: 'error', code: 'owner_unavailable', message: 'the host that runs the request does not answer; submit the request again to take it over', ran: 'unknown', httpStatus: 503 })
  }

  /** Resolves when the outcomes of all at-most-once calls have been recorded or their recording has timed out. */
  async waitIdle (): Promise<void> {
    await Promise.all(this.pendingRecordings)
  }

  private async runToCompletion (entry: RequestEntry, submission: Submission, deadlineAtMs: number): Promise<AnswerEnd | undefined> {
    const { idempotent } = submission.spec
    let result = await this.register(entry, 1, idempotent)
    let notOwnerReplies = 0
    for (let round = 0; round < requestConstants.maxExecutionRounds; round++) {
      if (result.accepted) {
        const end = idempotent
          ? await this.runAsOwner(entry, submission, deadlineAtMs, result)
          : await this.runAtMostOnce(entry, submission, deadlineAtMs, result)
        if (entry.newOwner === undefined || entry.isEnded || entry.isStopped) return end
        result = entry.newOwner
        this.options.metrics.addCount('lycheetrack_runs_superseded_total', {})
        continue
      }
      if (result.bodyHash !== entry.identity.bodyHash) throw new RequestError('request_id_reused', 'the request id belongs to a request with another body', 409, 'not_run')
      const outcome = await this.joinOwner(entry, result.ownerId)
      if (entry.isEnded) return undefined
      if (entry.isStopped) break
      if (!idempotent) return await this.runAtMostOnce(entry, submission, deadlineAtMs, result)
      if (outcome === 'not_owner' && ++notOwnerReplies <= requestConstants.maxNotOwnerReplies) {
        // The host that replied has either lost the request or is about to become its owner. In the latter case the
        // request must not be taken over from it, so the directory is queried again first.
        await waitTime(requestConstants.ownerLookupDelayMs)
        const { account, requestId } = entry.identity
        const found = await this.options.directory.find(account, requestId)
        if (found !== undefined && found.ownerId !== '') result = found
        continue
      }
      this.options.metrics.addCount('lycheetrack_takeovers_total', {})
      result = await this.register(entry, result.epoch + 1, idempotent, result, outcome === 'lost')
    }
    throw new RequestError(entry.isStopped ? 'request_cancelled' : 'owner_unavailable', 'the request has no owner that answers', entry.isStopped ? 499 : 503, 'unknown')
  }

  /**
   * Registers this host as the owner. `takeover` is the registration of the owner that it takes over from; `isOwnerLost`
   * is true when joining that owner ended with `lost`.
   */
  private async register (entry: RequestEntry, epoch: number, idempotent: boolean, takeover?: RegistrationResult, isOwnerLost = false): Promise<RegistrationResult> {
    const { directory, membership } = this.options
    const { account, requestId, bodyHash } = entry.identity
    const ownerId = membership.getSelf().id
    // The role changes before the registration: from then on other hosts may find this host as the owner and join it.
    entry.role = 'starting'
    const registration = { identity: entry.identity, ownerId, epoch, finished: false, takeoverFrom: takeover?.ownerId }
    entry.directoryHostIds = directory.listDirectoryHosts(account, requestId).map(host => host.id).join()
    // The request runs even if no directory host responds; claims protect at-most-once calls from running twice.
    const answer = idempotent ? await directory.register(registration) : await directory.registerAtBoth(registration)
    const result = answer ?? { accepted: true, ownerId, epoch, bodyHash, finished: false }
    // An owner that no longer runs the request has cancelled its stream. Only the stream of a lost owner may still run.
    const isResumable = isOwnerLost && takeover?.ownerId !== ownerId
    return result.accepted ? { ...result, hint: isResumable ? result.hint ?? takeover?.hint : undefined } : result
  }

  /** Relays the owner's answer. Returns `lost` without a call when the owner is dead, unknown or this host itself. */
  private async joinOwner (entry: RequestEntry, ownerId: string): Promise<'ended' | 'lost' | 'not_owner' | 'request_not_found'> {
    const owner = this.options.membership.find(ownerId)
    if (owner === undefined || owner.state === 'dead' || ownerId === this.options.membership.getSelf().id) return 'lost'
    entry.role = 'joined'
    return await this.options.relay.run(entry, owner, entry.startActivity())
  }

  private async runAsOwner (entry: RequestEntry, submission: Submission, deadlineAtMs: number, registration: RegistrationResult, isSendable?: () => boolean): Promise<AnswerEnd> {
    const { clock, pipeline } = this.options
    entry.role = 'owner'
    entry.epoch = registration.epoch
    entry.newOwner = undefined
    const signal = entry.startActivity()
    const remainingMs = deadlineAtMs - clock.readMonotonicMs()
    const timer = setTimeout(() => entry.stopActivity(this.buildDeadlineError()), Math.max(0, remainingMs))
    entry.updateState('run')
    const run = new PipelineRun(pipeline, {
      submission,
      epoch: entry.epoch,
      deadlineAtMs,
      log: entry.log,
      hint: registration.hint,
      isSendable,
      onGenerationStart: hint => this.handleGenerationStart(entry, hint)
    })
    try {
      return await run.run(signal)
    } finally {
      clearTimeout(timer)
      const { stage, upstreamId } = run.slowestStage
      this.reports.set(entry, { slowestStage: stage, slowestUpstream: upstreamId })
    }
  }

  private buildDeadlineError (): RequestError {
    return new RequestError('deadline_exceeded', 'the deadline has passed', 504, 'unknown')
  }

  private handleGenerationStart (entry: RequestEntry, hint: ResumeHint): void {
    entry.hint = hint
    entry.updateState('stream')
    const { epoch, identity } = entry
    this.options.directory.register({ identity, ownerId: this.options.membership.getSelf().id, epoch, hint, finished: false })
      .then(result => { if (result?.accepted === false) entry.applyNewOwner(result) })
      // A registration that fails is repeated by `RequestRegistrar`.
      .catch(() => {})
  }

  private async runAtMostOnce (entry: RequestEntry, submission: Submission, deadlineAtMs: number, registration: RegistrationResult): Promise<AnswerEnd | undefined> {
    const { claims, clock, membership } = this.options
    const { account, requestId, bodyHash } = entry.identity
    const decision = await claims.claim({ account, requestId, bodyHash })
    if (decision.kind === 'recorded') return resolveClaimOutcome(decision.outcome)
    if (decision.kind === 'refused') {
      const isNotRunCertain = registration.accepted && isFirstSubmission(requestId, deadlineAtMs - submission.deadlineMs, clock)
      const ran = decision.ran === 'not_run' && !isNotRunCertain ? 'unknown' : decision.ran
      throw new RequestError(decision.code, decision.message, decision.ran === 'not_run' ? 503 : 409, ran)
    }
    if (decision.kind === 'pending') {
      // The claim is held and has no outcome yet. Its holder has the answer, unless that is this host.
      if (decision.holderId !== membership.getSelf().id) await this.joinOwner(entry, decision.holderId)
      return entry.isEnded ? undefined : await this.resolveLostClaim(entry)
    }
    entry.isAbandonable = false
    if (!registration.accepted) registration = await this.register(entry, registration.epoch + 1, false, registration)
    const isSendable = (): boolean => decision.isFresh() && clock.readMonotonicMs() < deadlineAtMs
    // The caller gets an error at the deadline, but the run continues for a while to record the outcome of a call
    // that was sent.
    const timer = setTimeout(() => entry.close(buildErrorEnd(this.buildDeadlineError())), Math.max(0, deadlineAtMs - clock.readMonotonicMs()))
    const end = await this.runAsOwner(entry, submission, deadlineAtMs + requestConstants.lateOutcomeTimeoutMs, { ...registration, hint: undefined }, isSendable)
    clearTimeout(timer)
    const finalEnd: AnswerEnd = end.kind === 'error' && entry.newOwner !== undefined ? { ...end, code: 'outcome_unknown' } : end
    entry.newOwner = undefined
    this.recordOutcome(requestId, decision.recordOutcome({
      ran: finalEnd.kind === 'done' ? 'ran' : finalEnd.ran,
      status: finalEnd.kind === 'done' ? 200 : finalEnd.httpStatus,
      body: JSON.stringify(finalEnd)
    } satisfies ClaimOutcome))
    return finalEnd
  }

  /** Resolves the outcome when the claim's holder does not respond: it may have recorded an outcome in the meantime. */
  private async resolveLostClaim (entry: RequestEntry): Promise<AnswerEnd> {
    const { account, requestId, bodyHash } = entry.identity
    const decision = await this.options.claims.claim({ account, requestId, bodyHash })
    if (decision.kind === 'recorded') return resolveClaimOutcome(decision.outcome)
    return { kind: 'error', code: 'outcome_unknown', message: 'the host that sent the call does not answer', ran: 'unknown', httpStatus: 409 }
  }

  /** Tracks the recording in the background: the caller gets its answer first, and a drain waits for the recording. */
  private recordOutcome (requestId: string, recording: Promise<void>): void {
    const tracked = Promise.race([recording, waitTime(requestConstants.outcomeRecordTimeoutMs, undefined, { ref: false })])
      .catch(error => this.options.logger.recordWarning('failed to record the outcome of a call', { requestId, reason: String(error) }))
      .finally(() => this.pendingRecordings.delete(tracked))
    this.pendingRecordings.add(tracked)
  }
}
