import type { Clock } from '../../types/clock.js'
import { upstreamConstants } from './constants.js'
import type { EngineCall } from './engineCall.js'
import type { EngineStream } from './engineStream.js'
import type { EngineStreamHandler } from './engineStreamHandler.js'
import type { HeldBytes } from './heldBytes.js'
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
 * Reads one generation over successive connections: when a connection breaks or goes silent, a new one resumes the
 * stream at the first missing token.
 */
export class HttpEngineStream implements EngineStream {
  private nextOffset: number
  private receivedTokens: string[] = []
  private readonly outOfOrderTokens = new Map<number, string>()
  private announcedTokenCount: number | undefined
  private lastDataMs = 0
  private resumesWithoutProgress = 0
  private connectionNumber = 0
  private isAccepted: boolean
  /**
   * True once a connection was replaced, so that the engine may have run the call even if a later connection is
   * refused.
   */
  private mayHaveRun = false
  private isClosed = false
  private abort: () => void = () => {}
  /** The tokens received beyond those that do not count, the line that is not complete, and the tokens that wait for missing ones. */
  private readonly held: HeldBytes
  private outOfOrderBytes = 0
  private tokenBytes = 0
  private bytesWithoutToken = 0
  private hasSurplusToken = false

  constructor (private readonly options: HttpEngineStreamOptions) {
    this.isAccepted = options.call.resumeOffset !== undefined
    this.nextOffset = options.call.resumeOffset ?? 0
    this.held = options.client.createHeldBytes(reason => { this.closeWithError(reason) })
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
    this.held.release()
    this.options.watchdog.remove(this)
    this.abort()
  }

  checkSilence (nowMs: number): void {
    if (this.isClosed || nowMs - this.lastDataMs < this.options.silenceMs) return
    this.options.client.closePooledConnections()
    this.retryOnNewConnection(new UpstreamError('upstream_silent', `the stream was silent for ${this.options.silenceMs} ms`, 'unknown', true))
  }

  private openConnection (freshConnection: boolean): void {
    const { call, client, clock } = this.options
    const number = ++this.connectionNumber
    const isCurrent = (): boolean => !this.isClosed && number === this.connectionNumber
    const parser = new TokenLineParser({
      onToken: (offset, literal) => this.receiveToken(offset, literal),
      onDone: count => { this.announcedTokenCount = count },
      onUnknownLine: () => {}
    })
    this.lastDataMs = clock.readMonotonicMs()
    let status = 0
    this.abort = client.open(this.isAccepted
      ? { method: 'GET', path: `${this.buildStreamPath()}?offset=${this.nextOffset}`, freshConnection }
      : { method: 'POST', path: '/v1/completions', body: this.encodeCall(call), freshConnection }, {
      onStart: (code, isLeaving) => {
        if (!isCurrent()) return
        status = code
        if (code === 200) this.isAccepted = true
        else this.handleStatus(code, isLeaving)
      },
      onData: chunk => {
        if (!isCurrent() || status !== 200) return
        this.lastDataMs = clock.readMonotonicMs()
        this.bytesWithoutToken += chunk.length
        const isWithinLimit = parser.receive(chunk)
        this.reportTokens()
        if (isCurrent()) this.updateHeldBytes(parser.countPartialBytes() + this.outOfOrderBytes)
        if (!isCurrent()) return
        const excess = isWithinLimit ? this.findExcess() : 'a line of the stream is too long'
        if (excess === undefined) this.checkCompletion()
        else {
          const options = { isProtocolError: true }
          this.closeWithError(new UpstreamError('upstream_failed', excess, 'unknown', true, options))
        }
      },
      onEnd: () => {
        if (isCurrent()) this.retryOnNewConnection(new UpstreamError('upstream_failed', 'the stream ended early', 'unknown', true))
      },
      onError: error => {
        if (!isCurrent()) return
        if (error.sent || this.isAccepted || this.mayHaveRun) this.retryOnNewConnection(error)
        else this.closeWithError(error)
      }
    })
  }

  private handleStatus (status: number, leaving: boolean): void {
    if (status === 503 && !this.isAccepted && leaving) this.closeWithError(new UpstreamError('upstream_leaving', 'the engine is leaving', 'not_run', true))
    else if (status === 404) this.closeWithError(new UpstreamError('stream_not_found', 'the engine does not know the stream', 'unknown', true))
    else this.closeWithError(new UpstreamError('upstream_failed', `the engine answered with status ${status}`, 'unknown', true))
  }

  private updateHeldBytes (unreportedBytes: number): void {
    const countedBytes = Math.max(this.tokenBytes - upstreamConstants.uncountedTokenBytes, 0)
    this.held.update(unreportedBytes + countedBytes)
  }

  /** What the stream has more of than a correct engine sends. */
  private findExcess (): string | undefined {
    const { maxResponseBytes, maxBytesWithoutToken } = upstreamConstants
    if (this.hasSurplusToken) return `more than ${this.options.call.maxTokens} tokens`
    if (this.tokenBytes > maxResponseBytes) return `tokens of more than ${maxResponseBytes} bytes`
    if (this.bytesWithoutToken > maxBytesWithoutToken) return `more than ${maxBytesWithoutToken} bytes without a token`
    return undefined
  }

  private receiveToken (offset: number, literal: string): void {
    if (offset >= this.options.call.maxTokens) {
      this.hasSurplusToken = true
      return
    }
    if (offset > this.nextOffset) {
      if (this.outOfOrderTokens.size >= upstreamConstants.maxOutOfOrderTokens) return
      this.outOfOrderBytes += literal.length - (this.outOfOrderTokens.get(offset)?.length ?? 0)
      this.outOfOrderTokens.set(offset, literal)
      return
    }
    if (offset < this.nextOffset) return
    this.addToken(literal)
    if (this.outOfOrderTokens.size > 0) this.takeConsecutiveTokens()
  }

  private takeConsecutiveTokens (): void {
    for (let literal = this.outOfOrderTokens.get(this.nextOffset); literal !== undefined; literal = this.outOfOrderTokens.get(this.nextOffset)) {
      this.outOfOrderTokens.delete(this.nextOffset)
      this.outOfOrderBytes -= literal.length
      this.addToken(literal)
    }
  }

  private addToken (literal: string): void {
    this.receivedTokens.push(literal)
    this.nextOffset++
    this.tokenBytes += literal.length
    this.bytesWithoutToken = 0
  }

  private reportTokens (): void {
    if (this.receivedTokens.length === 0) return
    const tokens = this.receivedTokens
    this.receivedTokens = []
    this.resumesWithoutProgress = 0
    this.options.handler.onTokens(tokens)
  }

  private checkCompletion (): void {
    if (this.announcedTokenCount === undefined) {
      if (this.outOfOrderTokens.size >= upstreamConstants.maxOutOfOrderTokens) this.retryOnNewConnection(new UpstreamError('upstream_failed', 'tokens are missing', 'unknown', true))
      return
    }
    if (this.nextOffset < this.announcedTokenCount) {
      this.retryOnNewConnection(new UpstreamError('upstream_failed', 'the stream ended with tokens missing', 'unknown', true))
      return
    }
    if (this.nextOffset > this.announcedTokenCount) {
      this.closeWithError(new UpstreamError('upstream_failed', 'the stream has more tokens than it counts', 'unknown', true))
      return
    }
    this.isClosed = true
    this.held.release()
    this.options.watchdog.remove(this)
    // A response that ends by itself keeps its connection reusable; the abort only closes one that the engine leaves
    // open.
    setTimeout(this.abort, upstreamConstants.finishedResponseTimeoutMs).unref()
    this.options.handler.onEnd()
  }

  private retryOnNewConnection (cause: UpstreamError): void {
    this.connectionNumber++
    this.mayHaveRun = true
    this.abort()
    this.outOfOrderTokens.clear()
    this.outOfOrderBytes = 0
    this.updateHeldBytes(0)
    this.announcedTokenCount = undefined
    if (++this.resumesWithoutProgress > upstreamConstants.maxResumesWithoutProgress) this.closeWithError(cause)
    else this.openConnection(true)
  }

  private closeWithError (error: UpstreamError): void {
    if (this.isClosed) return
    this.close()
    const isExecutionStateReliable = error.ran !== 'not_run' || !this.mayHaveRun
    // When the engine refuses the connection that should resume the stream, the engine is gone and the stream with it.
    const code = error.code === 'upstream_refused' ? 'upstream_gone' : 'upstream_failed'
    if (isExecutionStateReliable) return this.options.handler.onError(error)
    const options = { cause: error, isProtocolError: error.isProtocolError }
    this.options.handler.onError(new UpstreamError(code, error.message, 'unknown', true, options))
  }

  private buildStreamPath (): string {
    return `/v1/streams/${encodeURIComponent(this.options.call.streamId)}`
  }

  private encodeCall (call: EngineCall): string {
    return JSON.stringify({ stream_id: call.streamId, model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, priority: call.priority })
  }
}
