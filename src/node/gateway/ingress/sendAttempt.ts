import { ByteList } from '../../../shared/byteList.js'
import { EventSplitter } from './eventSplitter.js'
import { ingressConstants } from './constants.js'
import { upstreamConstants } from '../upstreams/constants.js'
import type { AnswerMemory } from '../answers/answerMemory.js'
import type { AttemptResult } from './attemptResult.js'
import type { ClientResponse } from './clientResponse.js'
import type { CancelExchange } from '../upstreams/cancelExchange.js'
import type { Clock } from '../../../types/clock.js'
import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { ExchangeHandler } from '../upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../upstreams/exchangeRequest.js'
import type { HeldAnswer } from '../answers/heldAnswer.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface AttemptOptions {
  readonly upstream: UpstreamState
  readonly exchange: ExchangeRequest
  readonly isStream: boolean
  /** Id of the last event that the client has, when the stream is resumed after it. */
  readonly lastEventId: string | undefined
  readonly response: ClientResponse
  readonly answerMemory: AnswerMemory
  readonly signal: AbortSignal
  readonly clock: Clock
  /**
   * Timeout until the complete response, or until the first event of a stream; undefined to wait until the signal
   * aborts.
   */
  readonly attemptTimeoutMs: number | undefined
  /** Timeout between complete events of a stream. */
  readonly stallTimeoutMs: number
  /** Called when the request is sent by way of another host. */
  readonly onRelayed: (hostId: string) => void
  /** Called after complete events were forwarded. */
  readonly onEvents: (lastEventId: string | undefined) => void
}

/** Field of an event that comments do not have. */
const eventData = 'data:'

/**
 * Sends a request to an upstream once. A successful stream is forwarded as it arrives; any other response is buffered.
 */
export async function sendAttempt (options: AttemptOptions): Promise<AttemptResult> {
  return await new Promise(resolve => { new Attempt(options, resolve).start() })
}

class Attempt implements ExchangeHandler, HeldAnswer {
  private head: UpstreamResponseHead | undefined
  private readonly body = new ByteList()
  private streamBytes = 0
  /** Bytes of comments since the last event; comments are complete events to the splitter. */
  private bytesWithoutEvent = 0
  private splitter: EventSplitter | undefined
  private timeoutTimer: NodeJS.Timeout | undefined
  private lastEventsAtMs: number | undefined
  private longestPauseMs = 0
  private hasEnded = false
  private cancelExchange: CancelExchange = () => {}
  private readonly onAbort = (): void => { this.end({ type: 'cancelled' }, true) }

  constructor (private readonly options: AttemptOptions, private readonly resolve: (result: AttemptResult) => void) {}

  get upstreamId (): string {
    return this.options.upstream.entry.id
  }

  countBytes (): number {
    const { hasStarted, unreadBytes } = this.options.response
    return this.body.byteLength + (this.splitter?.partialEventBytes ?? 0) + (hasStarted ? unreadBytes : 0)
  }

  onEvicted (): void {
    const reason = 'the memory for answers is used up'
    const { contentLength = Infinity } = this.head ?? {}
    // Answers that state an end may use it up together; others may have none.
    if (contentLength <= upstreamConstants.maxResponseBytes) this.end({ type: 'uncertain', reason }, true)
    else this.endOversized(reason)
  }

  start (): void {
    const { upstream, exchange, signal, attemptTimeoutMs } = this.options
    if (signal.aborted) return this.end({ type: 'cancelled' })
    signal.addEventListener('abort', this.onAbort, { once: true })
    if (attemptTimeoutMs !== undefined) {
      this.timeoutTimer = setTimeout(() => {
        this.end({ type: 'uncertain', reason: `silent for ${Math.round(attemptTimeoutMs)} ms` }, true)
      }, attemptTimeoutMs)
    }
    this.cancelExchange = upstream.pool.send(exchange, this)
  }

  onHead (head: UpstreamResponseHead): void {
    this.head = head
    const { isStream, lastEventId } = this.options
    if (isStream && head.isSigned && this.hasEvents(head)) this.splitter = new EventSplitter(lastEventId)
  }

  /** A stream that has begun goes on only with what states that it is one: anything else is the text of an error. */
  private hasEvents ({ status, isEventStream }: UpstreamResponseHead): boolean {
    if (this.options.response.hasStarted) return status === 200 && isEventStream === true
    return status < 300 && isEventStream !== false
  }

  onData (chunk: Buffer): void {
    if (this.hasEnded) return
    if (this.splitter !== undefined) this.sendEvents(this.splitter, chunk)
    else this.addToBody(chunk)
    if (!this.hasEnded) this.options.answerMemory.update(this, this.countBytes())
  }

  private addToBody (chunk: Buffer): void {
    const maxBytes = this.computeMaxBytes()
    if (this.body.byteLength + chunk.length > maxBytes) this.endOversized(`answer of more than ${maxBytes} bytes`)
    else this.body.add(chunk)
  }

  onEnd (): void {
    const { head, splitter } = this
    if (head === undefined) return this.end({ type: 'uncertain', reason: 'no answer' })
    if (splitter !== undefined && splitter.partialEventBytes > 0) {
      return this.end({ type: 'uncertain', reason: 'stream ended within an event' })
    }
    // An upstream that ends before its first event closes such a stream in order.
    if (splitter !== undefined && !this.isEndStated(head) && this.lastEventsAtMs === undefined) {
      const reason = 'stream without a stated end and without events'
      return this.end({ type: 'uncertain', reason, isConnectionLost: true })
    }
    if (splitter !== undefined) {
      if (!this.options.response.hasStarted) this.options.response.startStream(head)
      this.options.response.endStream()
      return this.end({ type: 'streamed', longestPauseMs: Math.round(this.longestPauseMs) })
    }
    if (head.isNotRun) {
      return this.end({
        type: 'not-run',
        reason: `upstream status ${head.status}`,
        wasSent: true,
        areInputsGone: head.areInputsGone
      })
    }
    this.end({ type: 'answer', head, body: this.body.buildBuffer() })
  }

  onRelayed (hostId: string): void {
    this.options.onRelayed(hostId)
  }

  onFailure ({ kind, detail, wasSent, hasUpstreamEnded, isHeldBack }: ExchangeFailure): void {
    // The head alone states that the request was not run, even when the body is cut off.
    if (this.head?.isNotRun === true) {
      return this.end({
        type: 'not-run',
        reason: `upstream status ${this.head.status}`,
        wasSent: true,
        areInputsGone: false
      })
    }
    const reason = `${kind}: ${detail}`
    const isRelayLost = kind === 'relay-lost'
    if (!wasSent) return this.end({ type: 'not-run', reason, wasSent: false, areInputsGone: false, isRelayLost, isHeldBack })
    const isConnectionLost = kind === 'broken'
    this.end({ type: 'uncertain', reason, isConnectionLost, hasUpstreamEnded, isRelayLost })
  }

  /** A response to HEAD ends with its head, whatever it states. */
  private isEndStated ({ isFramed }: UpstreamResponseHead): boolean {
    return isFramed || this.options.exchange.method === 'HEAD'
  }

  /** A response without a signature is an error message, or not a response of the upstream at all. */
  private computeMaxBytes (): number {
    const { maxResponseBytes, maxUnsignedResponseBytes } = upstreamConstants
    return this.head?.isSigned === true ? maxResponseBytes : maxUnsignedResponseBytes
  }

  private sendEvents (splitter: EventSplitter, chunk: Buffer): void {
    const { response, onEvents } = this.options
    this.streamBytes += chunk.length
    if (this.streamBytes > upstreamConstants.maxStreamBytes) {
      return this.endOversized(`stream of more than ${upstreamConstants.maxStreamBytes} bytes`)
    }
    const { events, lastEventId } = splitter.addChunk(chunk)
    if (splitter.hasEventWithoutId && response.hasStarted) {
      return this.end({ type: 'uncertain', reason: 'event without an id in a resumed stream' }, true)
    }
    if (splitter.partialEventBytes > ingressConstants.maxPartialEventBytes) {
      return this.endOversized(`unfinished event of more than ${ingressConstants.maxPartialEventBytes} bytes`)
    }
    if (events.length === 0) return
    this.bytesWithoutEvent = events.includes(eventData) ? 0 : this.bytesWithoutEvent + events.length
    if (this.bytesWithoutEvent > ingressConstants.maxPartialEventBytes) {
      return this.endOversized(`comments of more than ${ingressConstants.maxPartialEventBytes} bytes`)
    }
    const nowMs = this.options.clock.readMonotonicMs()
    if (this.lastEventsAtMs === undefined) this.startStallTimer(this.options.stallTimeoutMs)
    this.observePause(nowMs)
    if (!response.hasStarted) response.startStream(this.head!)
    response.writeEvents(events)
    onEvents(lastEventId)
    if (response.unreadBytes > ingressConstants.maxUnreadBytes) {
      response.closeIncomplete('the client reads too slowly')
      this.end({ type: 'cancelled' }, true)
    }
  }

  /** Checks when the next event is due at the latest; events do not restart the timer, because a stream has many. */
  private startStallTimer (delayMs: number): void {
    clearTimeout(this.timeoutTimer)
    this.timeoutTimer = setTimeout(() => {
      const { clock, stallTimeoutMs } = this.options
      const silentMs = clock.readMonotonicMs() - this.lastEventsAtMs!
      if (silentMs < stallTimeoutMs) return this.startStallTimer(stallTimeoutMs - silentMs)
      const partialBytes = this.splitter!.partialEventBytes
      const reason = `stalled: no complete event for ${Math.round(silentMs)} ms, ${partialBytes} bytes of one`
      this.end({ type: 'uncertain', reason }, true)
    }, delayMs)
  }

  private observePause (nowMs: number): void {
    if (this.lastEventsAtMs !== undefined) {
      this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastEventsAtMs)
    }
    this.lastEventsAtMs = nowMs
  }

  private endOversized (reason: string): void {
    this.end({ type: 'uncertain', reason })
    this.cancelExchange(reason)
  }

  private end (result: AttemptResult, mustCancel = false): void {
    if (this.hasEnded) return
    this.hasEnded = true
    clearTimeout(this.timeoutTimer)
    this.options.signal.removeEventListener('abort', this.onAbort)
    this.options.answerMemory.remove(this)
    // The HTTP client may keep this handler until its connection is closed.
    this.body.release()
    if (mustCancel) this.cancelExchange()
    this.resolve(result)
  }
}
