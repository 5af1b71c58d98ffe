import { z } from 'zod'
import type { Random } from '../../../src/types/random.js'
import type { Execution } from '../server/execution.js'
import type { ExecutionLog } from '../server/executionLog.js'
import type { FaultState } from '../server/faultState.js'
import { LoadReporter } from '../server/loadReporter.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'
import { CacheEndpoints } from './cacheEndpoints.js'
import { EngineBatch } from './engineBatch.js'
import type { EngineOptions } from './engineOptions.js'
import { EngineStream } from './engineStream.js'
import { OrderEndpoint } from './orderEndpoint.js'
import { StreamResponse } from './streamResponse.js'

const endedStreamRetentionMs = 60_000
const sweepIntervalMs = 250
const completionBody = z.object({
  stream_id: z.string(),
  model: z.string().optional(),
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  priority: z.number().default(0),
  fencing: z.number().optional()
})

/** Stands in for a model engine: starts, resumes and cancels streams, and serves load reports, the prefix cache and orders. */
export class ModelEngineHandler implements StandInHandler {
  private readonly batch: EngineBatch
  private readonly streams = new Map<string, { readonly stream: EngineStream, readonly execution: Execution }>()
  private readonly responses = new Map<string, Set<StreamResponse>>()
  private readonly reporter: LoadReporter
  private readonly cacheEndpoints: CacheEndpoints
  private readonly orderEndpoint: OrderEndpoint
  private readonly sweepTimer: NodeJS.Timeout
  private stepTimer: NodeJS.Timeout | undefined
  private lastTickMs = 0

  constructor (private readonly options: EngineOptions, private readonly random: Random, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.batch = new EngineBatch(options)
    this.cacheEndpoints = new CacheEndpoints(this.batch.cache, options.cacheEventDelayMs, faults)
    this.orderEndpoint = new OrderEndpoint(options, faults, log)
    this.reporter = new LoadReporter(() => ({ running: this.batch.runningCount, waiting: this.batch.waitingCount, slots: options.slots, kvUsed: this.batch.kvUsed }), options.reportLagMs, faults)
    this.sweepTimer = setInterval(() => this.runSweep(), sweepIntervalMs)
  }

  handleCall (call: StandInCall): Promise<void> | void {
    const route = `${call.method} ${call.path}`
    if (route === 'POST /v1/completions') return this.handleCompletion(call)
    if (call.path.startsWith('/v1/streams/')) return this.handleStream(call, call.path.slice('/v1/streams/'.length))
    if (route === 'GET /load') return call.sendJson(200, { ...this.reporter.buildReport(), ...this.orderEndpoint.buildState() })
    if (route === 'GET /cache/events') return this.cacheEndpoints.sendEvents(call)
    if (route === 'POST /cache/export') return this.cacheEndpoints.sendExport(call)
    if (route === 'POST /cache/import') return this.cacheEndpoints.receiveImport(call)
    if (route === 'POST /orders') return this.orderEndpoint.handleOrder(call)
    return call.sendJson(404, { error: `no end point ${route}` })
  }

  buildHeaders (): Readonly<Record<string, string>> {
    return { 'X-Upstream-State': this.faults.settings.leaving ? 'leaving' : 'live', 'X-Engine-Version': this.faults.settings.version ?? '1' }
  }

  onFaultsChanged (): void {
    this.runSteps()
    this.batch.setSlowFactor(this.faults.settings.slowFactor ?? 1)
    this.scheduleStep()
  }

  stop (): void {
    clearTimeout(this.stepTimer)
    clearInterval(this.sweepTimer)
    this.reporter.stop()
  }

  private handleCompletion (call: StandInCall): Promise<void> | void {
    const body = call.parseBody(completionBody)
    const known = this.streams.get(body.stream_id)
    if (known) return this.addResponse(call, known.stream, 0)
    if (this.faults.settings.leaving) return call.sendJson(503, { error: 'leaving' })
    if (body.fencing !== undefined && this.orderEndpoint.isOutdated(body.fencing)) return call.sendJson(409, { error: 'fencing number is outdated' })
    if (body.model !== undefined && !this.orderEndpoint.isServed(body.model)) return call.sendJson(404, { error: `model ${body.model} is not loaded` })
    if (this.batch.waitingCount >= this.options.queueLimit) return call.sendJson(429, { error: 'queue is full' }, { 'Retry-After': '1' })
    const stream = new EngineStream(body.stream_id, body.prompt, body.max_tokens, body.priority)
    this.streams.set(stream.streamId, { stream, execution: this.log.recordStart(stream.streamId, 'generate', Date.now()) })
    this.batch.addStream(stream, performance.now())
    this.scheduleStep()
    this.addResponse(call, stream, 0)
  }

  private handleStream (call: StandInCall, streamId: string): Promise<void> | void {
    const known = this.streams.get(streamId)
    if (!known) return call.sendJson(404, { error: 'no such stream' })
    if (call.method === 'GET') return this.addResponse(call, known.stream, call.parseNumber('offset', 0))
    if (call.method !== 'DELETE') return call.sendJson(405, { error: 'GET or DELETE' })
    if (!known.stream.isEnded) {
      this.batch.cancelStream(known.stream, performance.now())
      this.settleStream(known.stream)
      this.scheduleStep()
    }
    return call.sendJson(200, { produced: known.stream.producedTokens })
  }

  private addResponse (call: StandInCall, stream: EngineStream, offset: number): void {
    // For a stream, the fault `loseAnswers` breaks the connection at a random token.
    const disconnectAtToken = this.faults.isInjected(this.faults.settings.loseAnswers) ? offset + Math.floor(this.random() * (stream.totalTokens - offset)) : undefined
    const streamResponse = new StreamResponse(stream, call.response, offset, performance.now(), disconnectAtToken)
    const responses = this.responses.get(stream.streamId) ?? new Set()
    this.responses.set(stream.streamId, responses.add(streamResponse))
    call.response.on('close', () => {
      responses.delete(streamResponse)
      if (responses.size === 0 && this.responses.get(stream.streamId) === responses) this.responses.delete(stream.streamId)
    })
    streamResponse.sendProducedTokens(performance.now())
  }

  private runSteps (): void {
    const nowMs = performance.now()
    this.lastTickMs = nowMs
    for (const stream of this.batch.runSteps(nowMs)) {
      if (stream.isEnded) this.settleStream(stream)
      else for (const streamResponse of this.responses.get(stream.streamId) ?? []) streamResponse.sendProducedTokens(nowMs)
    }
  }

  private settleStream (stream: EngineStream): void {
    const execution = this.streams.get(stream.streamId)?.execution
    if (execution) {
      execution.tokens = stream.producedTokens
      this.log.recordEnd(execution, stream.state, Date.now())
    }
    for (const streamResponse of this.responses.get(stream.streamId) ?? []) streamResponse.sendProducedTokens(stream.endedAtMs)
  }

  private scheduleStep (): void {
    clearTimeout(this.stepTimer)
    this.stepTimer = undefined
    const nextMs = this.batch.computeNextStepMs()
    if (nextMs === undefined) return
    // The next tick is relative to the last one, so that streams which start in between cannot postpone it.
    const dueMs = Math.max(nextMs, this.lastTickMs + this.options.tickMs)
    this.stepTimer = setTimeout(() => { this.runSteps(); this.scheduleStep() }, Math.max(0, dueMs - performance.now()))
  }

  private runSweep (): void {
    const nowMs = performance.now()
    for (const responses of this.responses.values()) for (const streamResponse of responses) if (!streamResponse.isClosed) streamResponse.sendKeepalive(nowMs)
    for (const [streamId, { stream }] of this.streams) if (stream.isEnded && stream.endedAtMs < nowMs - endedStreamRetentionMs) this.streams.delete(streamId)
  }
}
