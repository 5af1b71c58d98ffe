import type { Clock } from '../../types/clock.js'
import { upstreamConstants } from './constants.js'
import type { EngineCall } from './engineCall.js'
import type { EngineStream } from './engineStream.js'
import type { EngineStreamHandler } from './engineStreamHandler.js'
import type { StreamWatchdog } from './streamWatchdog.js'
import { TokenLineParser } from './tokenLineParser.js'
import type { UpstreamClient } from './upstreamClient.js'
import { UpstreamError } from './upstreamError.js'

interface HttpEngineStreamOptions {
  readonly client: UpstreamClient
  readonly watchdog: StreamWatchdog
  readonly clock: Clock
  readonly silenceMs: number
  readonly call: EngineCall
  readonly handler: EngineStreamHandler
}

/**
 * One generation over as many connections as it takes: a connection that breaks or stays silent is
 * replaced by one that resumes at the first token that is missing.
 */
export class HttpEngineStream implements EngineStream {
  private next: number
  private batch: string[] = []
  private readonly held = new Map<number, string>()
  private doneCount: number | undefined
  private lastByteMs = 0
  private resumesWithoutProgress = 0
  private connectionNumber = 0
  private isAccepted: boolean
  /** True once a connection that carried the call has ended without a refusal by the engine. */
  private mayHaveRun = false
  private isClosed = false
  private abort: () => void = () => {}

  constructor (private readonly options: HttpEngineStreamOptions) {
    this.isAccepted = options.call.resumeOffset !== undefined
    this.next = options.call.resumeOffset ?? 0
    options.watchdog.add(this)
    this.openConnection(false)
  }

  cancel (): void {
    const wasOpen = !this.isClosed
    this.close()
    if (!wasOpen) return
    this.options.client.send({ method: 'DELETE', path: this.buildStreamPath(), freshConnection: true }, AbortSignal.timeout(1000)).catch(() => {})
  }

  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.options.watchdog.remove(this)
    this.abort()
  }

  checkSilence (nowMs: number): void {
    if (this.isClosed || nowMs - this.lastByteMs < this.options.silenceMs) return
    this.options.client.closePooledConnections()
    this.openNextConnection(new UpstreamError('upstream_silent', `the stream was silent for ${this.options.silenceMs} ms`, 'unknown', true))
  }

  private openConnection (freshConnection: boolean): void {
    const { call, client, clock } = this.options
    const number = ++this.connectionNumber
    const isCurrent = (): boolean => !this.isClosed && number === this.connectionNumber
    const parser = new TokenLineParser({
      onToken: (offset, literal) => this.receiveToken(offset, literal),
      onDone: count => { this.doneCount = count },
      onUnknownLine: () => {}
    })
    this.lastByteMs = clock.readMonotonicMs()
    let status = 0
    this.abort = client.open(this.isAccepted
      ? { method: 'GET', path: `${this.buildStreamPath()}?offset=${this.next}`, freshConnection }
      : { method: 'POST', path: '/v1/completions', body: this.encodeCall(call), freshConnection }, {
      onStart: (code, headers) => {
        if (!isCurrent()) return
        status = code
        if (code === 200) this.isAccepted = true
        else this.handleStatus(code, headers['x-upstream-state'] === 'leaving')
      },
      onData: chunk => {
        if (!isCurrent() || status !== 200) return
        this.lastByteMs = clock.readMonotonicMs()
        const isWithinBound = parser.receive(chunk)
        this.sendBatch()
        if (!isCurrent()) return
        if (!isWithinBound) this.closeWithError(new UpstreamError('upstream_failed', 'a line of the stream is too long', 'unknown', true))
        else this.settleIfWhole()
      },
      onEnd: () => {
        if (isCurrent()) this.openNextConnection(new UpstreamError('upstream_failed', 'the stream ended early', 'unknown', true))
      },
      onError: error => {
        if (!isCurrent()) return
        if (error.sent || this.isAccepted || this.mayHaveRun) this.openNextConnection(error)
        else this.closeWithError(error)
      }
    })
  }

  private handleStatus (status: number, leaving: boolean): void {
    if (status === 503 && !this.isAccepted && leaving) this.closeWithError(new UpstreamError('upstream_leaving', 'the engine is leaving', 'not_run', true))
    else if (status === 404) this.closeWithError(new UpstreamError('stream_not_found', 'the engine does not know the stream', 'unknown', true))
    else this.closeWithError(new UpstreamError('upstream_failed', `the engine answered with status ${status}`, 'unknown', true))
  }

  private receiveToken (offset: number, literal: string): void {
    if (offset > this.next) {
      if (this.held.size < upstreamConstants.maxOutOfOrderTokens) this.held.set(offset, literal)
      return
    }
    if (offset < this.next) return
    this.batch.push(literal)
    this.next++
    if (this.held.size > 0) this.takeHeldTokens()
  }

  private takeHeldTokens (): void {
    for (let literal = this.held.get(this.next); literal !== undefined; literal = this.held.get(this.next)) {
      this.held.delete(this.next)
      this.batch.push(literal)
      this.next++
    }
  }

  private sendBatch (): void {
    if (this.batch.length === 0) return
    const tokens = this.batch
    this.batch = []
    this.resumesWithoutProgress = 0
    this.options.handler.onTokens(tokens)
  }

  private settleIfWhole (): void {
    if (this.doneCount === undefined) {
      if (this.held.size >= upstreamConstants.maxOutOfOrderTokens) this.openNextConnection(new UpstreamError('upstream_failed', 'tokens are missing', 'unknown', true))
      return
    }
    if (this.next < this.doneCount) {
      this.openNextConnection(new UpstreamError('upstream_failed', 'the stream ended with tokens missing', 'unknown', true))
      return
    }
    if (this.next > this.doneCount) {
      this.closeWithError(new UpstreamError('upstream_failed', 'the stream has more tokens than it counts', 'unknown', true))
      return
    }
    this.isClosed = true
    this.options.watchdog.remove(this)
    // The response ends by itself, which keeps the connection; an engine that leaves it open is cut off.
    setTimeout(this.abort, upstreamConstants.finishedResponseTimeoutMs).unref()
    this.options.handler.onEnd()
  }

  private openNextConnection (cause: UpstreamError): void {
    this.connectionNumber++
    this.mayHaveRun = true
    this.abort()
    this.held.clear()
    this.doneCount = undefined
    if (++this.resumesWithoutProgress > upstreamConstants.maxResumesWithoutProgress) this.closeWithError(cause)
    else this.openConnection(true)
  }

  private closeWithError (error: UpstreamError): void {
    if (this.isClosed) return
    this.close()
    const isCertain = error.ran !== 'not_run' || !this.mayHaveRun
    // A stream that cannot be resumed because the engine takes no connection ended with the engine.
    const code = error.code === 'upstream_refused' ? 'upstream_gone' : 'upstream_failed'
    this.options.handler.onError(isCertain ? error : new UpstreamError(code, error.message, 'unknown', true, { cause: error }))
  }

  private buildStreamPath (): string {
    return `/v1/streams/${encodeURIComponent(this.options.call.streamId)}`
  }

  private encodeCall (call: EngineCall): string {
    return JSON.stringify({ stream_id: call.streamId, model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, priority: call.priority })
  }
}
