import type { StageSpec } from '../../types/stageSpec.js'
import type { StageWork } from '../../types/stageWork.js'
import type { AnswerEnd } from './answerEnd.js'
import type { AttemptHandler } from './attemptHandler.js'
import { buildErrorEnd } from './buildErrorEnd.js'
import { buildPipelinePlan } from './buildPipelinePlan.js'
import { buildPrompt } from './buildPrompt.js'
import { computeNextGeneration } from './computeNextGeneration.js'
import { computeStageBudget } from './computeStageBudget.js'
import { requestConstants } from './constants.js'
import { hashPromptPrefix } from './hashPromptPrefix.js'
import type { PipelineDependencies } from './pipelineDependencies.js'
import type { PipelineJob } from './pipelineJob.js'
import type { PipelinePlan } from './pipelinePlan.js'
import type { StageAttempt } from './stageAttempt.js'
import { StageRun } from './stageRun.js'
import type { StageRunOptions } from './stageRunOptions.js'

/** Executes the stages of one request. Each stage starts when the stages it depends on are complete. */
export class PipelineRun {
  private static runCount = 0
  private readonly plan: PipelinePlan
  private readonly outputs = new Map<string, Promise<unknown>>()
  private readonly controller = new AbortController()
  /** Distinguishes the call ids of a request that runs again on this host from those of its earlier run. */
  private readonly runNumber = ++PipelineRun.runCount
  private attemptCount = 0
  private callsThatMayHaveRun = 0
  private slowest = { stage: '', upstreamId: '', elapsedMs: -1 }

  constructor (private readonly dependencies: PipelineDependencies, private readonly job: PipelineJob) {
    this.plan = buildPipelinePlan(job.submission.spec.stages)
  }

  /** True when a call was started that an upstream may have run. */
  get mayHaveRun (): boolean {
    return this.callsThatMayHaveRun > 0
  }

  /** The slowest completed stage and its upstream. */
  get slowestStage (): { readonly stage: string, readonly upstreamId: string } {
    return this.slowest
  }

  /** Runs all stages. Never rejects; a failed stage ends the answer with an error. */
  async run (signal: AbortSignal): Promise<AnswerEnd> {
    const onAbort = (): void => this.controller.abort(signal.reason)
    if (signal.aborted) onAbort()
    else signal.addEventListener('abort', onAbort, { once: true })
    try {
      const { streamed, results } = this.plan
      const finalStages = streamed === undefined ? results : [streamed, ...results]
      const outputs = await Promise.all(finalStages.map(async stage => await this.runStage(stage)))
      const result = Object.fromEntries(results.map(stage => [stage.name, outputs[finalStages.indexOf(stage)]]))
      return { kind: 'done', tokenCount: this.job.log.tokens.length, result }
    } catch (error) {
      this.controller.abort(error)
      return this.buildFailure(signal.aborted ? signal.reason : error)
    } finally {
      signal.removeEventListener('abort', onAbort)
    }
  }

  private buildFailure (error: unknown): AnswerEnd {
    const end = buildErrorEnd(error)
    if (!this.mayHaveRun) return { ...end, ran: 'not_run' }
    return end.ran === 'not_run' ? { ...end, ran: 'unknown' } : end
  }

  private runStage (stage: StageSpec): Promise<unknown> {
    const known = this.outputs.get(stage.name)
    if (known !== undefined) return known
    const output = this.executeStage(stage)
    // When several stages fail, only the first rejection is awaited; the others must not be unhandled.
    output.catch(() => {})
    this.outputs.set(stage.name, output)
    return output
  }

  private readonly executeStage = async (stage: StageSpec): Promise<unknown> => {
    const resumedStream = stage === this.plan.streamed ? this.findResumableStream() : undefined
    if (resumedStream !== undefined) {
      try {
        return await this.runAttempts(stage, {}, resumedStream)
      } catch (error) {
        // The stream cannot be resumed, so the stage runs again with the results of its dependencies.
        if (this.controller.signal.aborted) throw error
      }
    }
    const dependencyNames = stage.after
    const dependencies = dependencyNames.map(name => this.plan.stages.find(other => other.name === name)!)
    const outputs = await Promise.all(dependencies.map(async spec => await this.runStage(spec)))
    return await this.runAttempts(stage, Object.fromEntries(dependencyNames.map((name, index) => [name, outputs[index]])), undefined)
  }

  /** Finds the stream of an earlier owner, which continues after the tokens that are already in the log. */
  private findResumableStream (): StageRunOptions['resumedStream'] {
    const { hint, log } = this.job
    // An empty stream id means that there is no stream to resume.
    if (hint === undefined || hint.streamId === '' || hint.generation < log.generation) return undefined
    log.startGeneration(hint.generation)
    return { upstreamId: hint.upstreamId, streamId: hint.streamId, offset: log.tokens.length }
  }

  private async runAttempts (stage: StageSpec, results: Readonly<Record<string, unknown>>, resumedStream: StageRunOptions['resumedStream']): Promise<unknown> {
    const { submission, deadlineAtMs } = this.job
    const { account, requestId, spec } = submission
    const { router, clock, latencies, tokens, attempts } = this.dependencies
    const isGeneration = stage.operation === 'generate'
    const isStreamed = stage === this.plan.streamed
    const prompt = isGeneration ? buildPrompt(submission.input, results) : ''
    const tokenKey = `${account}/${submission.kind}/${stage.name}`
    const workId = `${account}/${requestId}/${stage.name}`
    const work: StageWork = {
      workId,
      account,
      pool: stage.pool,
      operation: stage.operation,
      model: stage.model,
      cost: isGeneration ? tokens.computeExpectedTokens(tokenKey, stage.maxTokens ?? requestConstants.defaultMaxTokens) : 1,
      priority: spec.priority,
      deadlineMs: deadlineAtMs,
      idempotent: spec.idempotent,
      prefixHash: isGeneration ? hashPromptPrefix(prompt) : undefined
    }
    const payload = { stage, priority: spec.priority, prompt, input: { input: submission.input, results }, isSendable: stage.operation === 'call' ? this.job.isSendable : undefined }
    // Tokens are JSON string literals.
    const unstreamedTokens: string[] = []
    const run = new StageRun({
      work,
      router,
      clock,
      computeBudget: predictedMs => this.computeBudget(stage, predictedMs),
      isAtMostOnce: stage.operation === 'call' && !spec.idempotent,
      resumedStream,
      buildCallId: () => `${workId}/${this.dependencies.callIdScope}.${this.runNumber}.${++this.attemptCount}`,
      startAttempt: (upstreamId, callId, handler, resumeOffset) => this.startAttempt(() =>
        attempts.start(upstreamId, callId, payload, this.buildCountingHandler(handler), resumeOffset)),
      onUpstreamRetry: upstreamId => attempts.closePooledConnections(upstreamId),
      onAttemptChosen: (upstreamId, streamId, isResumed) => {
        if (isStreamed) this.startGeneration(upstreamId, streamId, isResumed)
        unstreamedTokens.length = 0
      },
      onTokens: literals => {
        if (isStreamed) this.job.log.addTokens(literals)
        else unstreamedTokens.push(...literals)
      }
    })
    const result = await run.run(this.controller.signal)
    latencies.observe(this.buildLatencyKey(stage), result.elapsedMs)
    // The log holds only the tokens of the streamed generation, so the lengths of other generations are not observed.
    if (isStreamed) tokens.observe(tokenKey, this.job.log.tokens.length)
    if (result.elapsedMs > this.slowest.elapsedMs) this.slowest = { stage: stage.name, upstreamId: result.upstreamId, elapsedMs: result.elapsedMs }
    return isGeneration ? (JSON.parse(`[${unstreamedTokens.join(',')}]`) as string[]).join('') : result.output
  }

  /** Starts an attempt and counts it as one that may have run; `buildCountingHandler` reverses that for `not_run`. */
  private startAttempt (start: () => StageAttempt): StageAttempt {
    this.callsThatMayHaveRun++
    return start()
  }

  /** Wraps `handler` so that an attempt that fails with `not_run` no longer counts as one that may have run. */
  private buildCountingHandler (handler: AttemptHandler): AttemptHandler {
    return {
      ...handler,
      onFailed: error => {
        if (error.ran === 'not_run') this.callsThatMayHaveRun--
        handler.onFailed(error)
      }
    }
  }

  private startGeneration (upstreamId: string, streamId: string, isResumed: boolean): void {
    const { log, hint, epoch, submission, onGenerationStart } = this.job
    if (!isResumed) log.startGeneration(computeNextGeneration(epoch, [log.generation, hint?.generation ?? 0, submission.knownGeneration]))
    onGenerationStart({ upstreamId, streamId, generation: log.generation })
  }

  private computeBudget (stage: StageSpec, predictedMs: number): number {
    const path = this.plan.remainingPaths.get(stage.name) ?? [stage]
    const quantiles = path.map(other => this.dependencies.latencies.findQuantile(this.buildLatencyKey(other)))
    return computeStageBudget(this.job.deadlineAtMs - this.dependencies.clock.readMonotonicMs(), quantiles, predictedMs)
  }

  private buildLatencyKey (stage: StageSpec): string {
    return `${stage.pool}/${stage.operation}/${stage.model ?? ''}`
  }
}
