import type { StageSpec } from '../../src/types/stageSpec.js'
import type { AdmissionRequest } from '../../src/types/admissionRequest.js'
import type { Arrival } from './arrival.js'
import type { BenchHost } from './benchHost.js'
import type { Job } from './job.js'
import { StageExecution } from './stageExecution.js'
import type { TrueWork } from './trueWork.js'
import type { UpstreamModel } from './upstreamModel.js'

/** Work of each generated token. */
const tokenMs = 12
/** Work of the prefill when the prefix is not cached. */
const prefillMs = 60
/** A generation counts as long from this usual number of tokens on. */
const longTokens = 100

/** Runs one request at one entry host, from admission to its answer. */
export class RequestExecution {
  readonly deadlineMs: number
  private readonly admission: AdmissionRequest
  private readonly done = new Set<string>()
  private readonly running = new Map<string, StageExecution>()
  private readonly pending = new Map<string, TrueWork>()
  private ended = false

  constructor (private readonly host: BenchHost, readonly arrival: Arrival) {
    const { kind } = arrival
    this.deadlineMs = arrival.atMs + kind.deadlineMs - host.context.deployment.callerMs
    this.admission = { requestId: arrival.id, account: arrival.account, kind: kind.name, stages: kind.stages, priority: kind.priority, idempotent: kind.idempotent, remainingMs: this.deadlineMs - host.context.queue.nowMs, tokens: kind.tokens }
  }

  start (): void {
    const { queue, trueWorkById } = this.host.context
    for (const stage of this.arrival.kind.stages) trueWorkById.set(this.getWorkId(stage), this.computeTrueWork(stage, 0))
    const decision = this.host.policy.admission.admit(this.admission, queue.nowMs)
    if (!decision.admitted) {
      this.recordEnd('refused', decision.reason)
      return
    }
    this.host.requests.add(this)
    queue.schedule(this.deadlineMs, () => this.endWithFailure('deadline'))
    for (const stage of this.arrival.kind.stages) this.addPending(stage)
    this.startStages()
  }

  /**
   * Computes the actual cost of an attempt. All attempts of a generation produce the same number of tokens; another
   * stage may be a straggler in one attempt and not in the next.
   */
  computeTrueWork (stage: StageSpec, attempt: number): TrueWork {
    const { kind, tokens, factors, prefixHash } = this.arrival
    if (stage.operation === 'generate') return { prefillMs, unitMs: tokenMs, unitCount: tokens, prefixHash, long: kind.tokens >= longTokens }
    const factor = factors[stage.name]?.[Math.min(attempt, 1)] ?? 1
    return { prefillMs: 0, unitMs: (kind.stageMs[stage.name] ?? 0) * factor, unitCount: 1, prefixHash: undefined, long: false }
  }

  onStageSent (stage: StageExecution): void {
    const truth = this.pending.get(stage.stage.name)
    if (truth === undefined) return
    this.pending.delete(stage.stage.name)
    this.updatePending(stage.stage.pool, truth, -1)
  }

  onStageDone (name: string): void {
    if (this.ended) return
    this.done.add(name)
    if (this.done.size < this.arrival.kind.stages.length) {
      this.startStages()
      return
    }
    const elapsedMs = this.host.context.queue.nowMs + this.host.context.deployment.callerMs - this.arrival.atMs
    this.recordEnd(elapsedMs <= this.arrival.kind.objective.latencyMs ? 'attained' : 'late')
  }

  endWithFailure (reason: string): void {
    if (this.ended) return
    this.recordEnd('failed', reason)
    this.cancelStages()
  }

  /** Ends the request without a result, because its host crashed. */
  close (): void {
    this.ended = true
    this.removeFromContext()
    this.cancelStages()
  }

  recordWork (execution: StageExecution, job: Job, model: UpstreamModel, repeated: boolean, used: boolean): void {
    const { result, queue } = this.host.context
    const workMs = model.getDoneWork(job)
    if (workMs <= 0) return
    const key = `${this.arrival.kind.name}/${execution.stage.name}`
    const cost = result.stages.get(key) ?? { done: 0, wasted: 0, repeated: 0 }
    result.stages.set(key, cost)
    cost.done += workMs
    if (!used) cost.wasted += workMs
    if (repeated) cost.repeated += workMs
    if (execution.stage.pool === 'runners') result.spans.push({ requestId: this.arrival.id, startMs: job.startedMs, endMs: queue.nowMs, workMs, used })
  }

  private startStages (): void {
    for (const stage of this.arrival.kind.stages) {
      if (this.running.has(stage.name) || !stage.after.every(name => this.done.has(name))) continue
      const execution = new StageExecution(this.host, this, stage)
      this.running.set(stage.name, execution)
      if (!execution.send()) this.host.addDeferred(execution)
    }
  }

  private cancelStages (): void {
    for (const execution of this.running.values()) execution.cancel()
  }

  private recordEnd (outcome: 'attained' | 'late' | 'failed' | 'refused', reason?: string): void {
    const { queue, deployment, result } = this.host.context
    const elapsedMs = queue.nowMs + deployment.callerMs - this.arrival.atMs
    this.ended = true
    this.removeFromContext()
    result.requests.push({ id: this.arrival.id, kind: this.arrival.kind.name, account: this.arrival.account, atMs: this.arrival.atMs, elapsedMs, outcome, reason })
    if (outcome !== 'refused') this.host.policy.admission.onFinished(this.admission, elapsedMs, outcome === 'attained', queue.nowMs)
  }

  private removeFromContext (): void {
    this.host.requests.delete(this)
    for (const stage of this.arrival.kind.stages) {
      this.host.context.trueWorkById.delete(this.getWorkId(stage))
      const truth = this.pending.get(stage.name)
      if (truth !== undefined) this.updatePending(stage.pool, truth, -1)
    }
    this.pending.clear()
  }

  private getWorkId (stage: StageSpec): string {
    return `${this.arrival.account}/${this.arrival.id}/${stage.name}`
  }

  private addPending (stage: StageSpec): void {
    const truth = this.computeTrueWork(stage, 0)
    this.pending.set(stage.name, truth)
    this.updatePending(stage.pool, truth, 1)
  }

  private updatePending (pool: string, truth: TrueWork, sign: number): void {
    if (!truth.long) return
    const { pendingLongWorkMs } = this.host.context
    pendingLongWorkMs.set(pool, (pendingLongWorkMs.get(pool) ?? 0) + sign * (truth.prefillMs + truth.unitMs * truth.unitCount))
  }
}
