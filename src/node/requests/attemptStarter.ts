import type { StageOperation } from '../../types/stageOperation.js'
import type { StageResponse } from '../upstreams/stageResponse.js'
import { UpstreamError } from '../upstreams/upstreamError.js'
import type { UpstreamLookup } from '../upstreams/upstreamLookup.js'
import type { AttemptHandler } from './attemptHandler.js'
import { requestConstants } from './constants.js'
import type { PendingAttempts } from './pendingAttempts.js'
import type { StageAttempt } from './stageAttempt.js'
import type { StagePayload } from './stagePayload.js'

/** Starts attempts of stages on upstreams. */
export class AttemptStarter {
  constructor (private readonly upstreams: UpstreamLookup, private readonly pending: PendingAttempts) {}

  /** With `resumeOffset`, `callId` identifies an existing stream on the engine, which is read from that offset. */
  start (upstreamId: string, callId: string, payload: StagePayload, handler: AttemptHandler, resumeOffset?: number): StageAttempt {
    if (payload.stage.operation === 'generate') return this.startGeneration(upstreamId, callId, payload, handler, resumeOffset)
    return this.startCall(upstreamId, callId, payload, payload.stage.operation, handler)
  }

  closePooledConnections (upstreamId: string): void {
    this.upstreams.closePooledConnections(upstreamId)
  }

  private startGeneration (upstreamId: string, streamId: string, payload: StagePayload, handler: AttemptHandler, resumeOffset?: number): StageAttempt {
    const engine = this.upstreams.findEngine(upstreamId)
    if (engine === undefined) return this.refuseUnknownUpstream(upstreamId, handler)
    const { stage, prompt, priority } = payload
    const call = { streamId, model: stage.model ?? '', prompt, maxTokens: stage.maxTokens ?? requestConstants.defaultMaxTokens, priority, resumeOffset }
    return engine.openStream(call, {
      onTokens: literals => handler.onTokens(literals),
      onEnd: () => handler.onDone(undefined),
      onError: error => handler.onFailed(error)
    })
  }

  private startCall (upstreamId: string, callId: string, payload: StagePayload, operation: Exclude<StageOperation, 'generate'>, handler: AttemptHandler): StageAttempt {
    const controller = new AbortController()
    let response: Promise<StageResponse>
    if (operation === 'call') {
      const service = this.upstreams.findPlainService(upstreamId)
      if (service === undefined) return this.refuseUnknownUpstream(upstreamId, handler)
      response = service.send(payload.stage.serviceOperation ?? payload.stage.name, callId, payload.input, controller.signal, payload.isSendable)
    } else {
      const member = this.upstreams.findStagePoolMember(upstreamId)
      if (member === undefined) return this.refuseUnknownUpstream(upstreamId, handler)
      response = member.send(operation, callId, payload.input, controller.signal)
    }
    this.pending.add(callId, { upstreamId, onResponse: output => handler.onDone(output) })
    const closeWithError = (error: UpstreamError): void => { if (this.pending.remove(callId)) handler.onFailed(error) }
    response.then(received => {
      this.pending.receive(upstreamId, received.callId, received.output)
      if (received.callId === callId) return
      // An upstream that mixes up connections may deliver the right response over another connection.
      setTimeout(() => closeWithError(new UpstreamError('upstream_failed', 'the connection carried the answer of another call', 'unknown', true)), requestConstants.mismatchedResponseTimeoutMs).unref()
    }, error => {
      closeWithError(error instanceof UpstreamError ? error : new UpstreamError('upstream_failed', String(error), 'unknown', true, { cause: error }))
    })
    const startedMs = performance.now()
    const cancel = (): void => {
      this.pending.remove(callId)
      controller.abort()
      if (performance.now() - startedMs > requestConstants.unansweredCallMs) this.upstreams.closePooledConnections(upstreamId)
    }
    return { cancel, close: cancel }
  }

  private refuseUnknownUpstream (upstreamId: string, handler: AttemptHandler): StageAttempt {
    queueMicrotask(() => handler.onFailed(new UpstreamError('upstream_unknown', `no connection to upstream ${upstreamId}`, 'not_run', false)))
    return { cancel: () => {}, close: () => {} }
  }
}
