import type { StageSpec } from '../../src/types/stageSpec.js'
import type { StageWork } from '../../src/types/stageWork.js'
import type { BenchHost } from './benchHost.js'
import type { Job } from './job.js'
import type { RequestExecution } from './requestExecution.js'
import type { UpstreamModel } from './upstreamModel.js'

interface Attempt {
  readonly model: UpstreamModel
  readonly job: Job
  readonly sentMs: number
  readonly repeated: boolean
  ended: boolean
}

/** Time after which an attempt to connect to a silent upstream fails. */
const connectTimeoutMs = 1000
/** Time without data after which a stream fails. */
const streamSilenceMs = 2000
/** Least time after which a denied hedge is requested again. */
const hedgeIntervalMs = 50
const maxAttempts = 4

/** One stage of one request: routes, sends, hedges and retries its attempts. */
export class StageExecution {
  readonly work: StageWork
  private readonly attempts: Attempt[] = []
  private readonly tried = new Set<string>()
  private ended = false

  constructor (private readonly host: BenchHost, private readonly request: RequestExecution, readonly stage: StageSpec) {
    const kind = request.arrival.kind
    this.work = {
      workId: `${request.arrival.account}/${request.arrival.id}/${stage.name}`,
      account: request.arrival.account,
      pool: stage.pool,
      operation: stage.operation,
      model: stage.model,
      cost: stage.operation === 'generate' ? kind.tokens : 1,
      priority: kind.priority,
      deadlineMs: request.deadlineMs,
      idempotent: kind.idempotent,
      prefixHash: stage.operation === 'generate' ? request.arrival.prefixHash : undefined
    }
  }

  /** Sends an attempt. Returns false when the router finds no upstream now; the host tries again later. */
  send (repeated = false): boolean {
    if (this.ended) return true
    const nowMs = this.host.context.queue.nowMs
    const choice = this.host.policy.router.route(this.work, this.tried, nowMs)
    const model = choice && this.host.context.models.get(choice.upstreamId)
    if (choice === undefined || model === undefined) return false
    this.tried.add(model.id)
    this.host.policy.router.onSent(model.id, this.work, nowMs)
    this.request.onStageSent(this)
    this.sendTo(model, repeated)
    if (choice.hedgeAfterMs !== undefined) this.scheduleHedge(choice.hedgeAfterMs)
    return true
  }

  cancel (): void {
    this.ended = true
    for (const attempt of this.attempts) {
      if (attempt.ended) continue
      this.endAttempt(attempt, 'cancelled', false)
      attempt.model.cancel(attempt.job)
    }
  }

  private sendTo (model: UpstreamModel, repeated: boolean): void {
    const { queue } = this.host.context
    const linkMs = this.host.computeLinkMs(model)
    const attempt: Attempt = { model, job: this.createJob(() => attempt), sentMs: queue.nowMs, repeated, ended: false }
    this.attempts.push(attempt)
    queue.schedule(queue.nowMs + linkMs, () => {
      if (attempt.ended) return
      if (!model.lost) model.send(attempt.job)
      else queue.schedule(queue.nowMs + (this.host.context.scenario.domainLostAtMs === undefined ? linkMs : connectTimeoutMs), () => this.handleLoss(attempt, 'refused'))
    })
  }

  private createJob (getAttempt: () => Attempt): Job {
    const { context } = this.host
    const { kind } = this.request.arrival
    const truth = this.request.computeTrueWork(this.stage, this.attempts.length)
    const streaming = this.stage.operation === 'generate'
    const schedule = (run: () => void) => context.queue.schedule(context.queue.nowMs + this.host.computeLinkMs(getAttempt().model), run)
    const lossMs = context.scenario.domainLostAtMs === undefined ? 1 : streaming ? streamSilenceMs : connectTimeoutMs
    return {
      ...truth,
      priority: this.host.policy.usesPriority ? kind.priority : 0,
      submittedMs: 0,
      startedMs: -1,
      startWork: 0,
      totalWork: 0,
      state: 'waiting',
      onStarted: () => { if (kind.short) context.result.shortWaits.push({ atMs: getAttempt().job.submittedMs, waitMs: context.queue.nowMs - getAttempt().job.submittedMs }) },
      onDone: () => schedule(() => this.handleDone(getAttempt())),
      onLost: () => context.queue.schedule(context.queue.nowMs + lossMs, () => this.handleLoss(getAttempt(), 'failed')),
      onTokens: streaming ? tokens => { if (!getAttempt().ended) this.host.policy.router.onProgress(getAttempt().model.id, this.work, tokens, context.queue.nowMs) } : undefined
    }
  }

  private scheduleHedge (delayMs: number): void {
    const { queue } = this.host.context
    queue.schedule(queue.nowMs + delayMs, () => {
      if (this.ended || this.attempts.filter(attempt => !attempt.ended).length !== 1 || this.attempts.length > 1) return
      if (this.host.policy.router.admitHedge(this.work, queue.nowMs)) this.send(true)
      else this.scheduleHedge(Math.max(hedgeIntervalMs, delayMs / 2))
    })
  }

  private handleDone (attempt: Attempt): void {
    if (attempt.ended) return
    this.endAttempt(attempt, 'completed', !this.ended)
    if (this.ended) return
    this.cancel()
    this.request.onStageDone(this.stage.name)
  }

  private handleLoss (attempt: Attempt, outcome: 'failed' | 'refused'): void {
    if (attempt.ended) return
    this.endAttempt(attempt, outcome, false)
    if (this.ended || this.attempts.some(other => !other.ended)) return
    const mayRepeat = outcome === 'refused' || this.work.idempotent
    if (mayRepeat && this.attempts.length < maxAttempts && this.host.policy.router.admitRetry(this.work, this.host.context.queue.nowMs)) {
      if (!this.send(outcome === 'failed')) this.host.addDeferred(this)
      return
    }
    this.ended = true
    this.request.endWithFailure('upstream_lost')
  }

  private endAttempt (attempt: Attempt, outcome: 'completed' | 'failed' | 'refused' | 'cancelled', used: boolean): void {
    const { queue } = this.host.context
    attempt.ended = true
    this.host.policy.router.onEnded(attempt.model.id, this.work, outcome, queue.nowMs - attempt.sentMs, queue.nowMs)
    this.request.recordWork(this, attempt.job, attempt.model, attempt.repeated, used)
    this.host.sendDeferred()
  }
}
