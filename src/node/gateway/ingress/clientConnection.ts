import { STATUS_CODES } from 'node:http'
import { ClientExchange } from './clientExchange.js'
import { ingressConstants } from './constants.js'
import { memoryConstants } from '../memory/constants.js'
import { PieceInput } from '../../listeners/pieceInput.js'
import { PresenceCheck } from './presenceCheck.js'
import type { ArrivalTimes } from './arrivalTimes.js'
import type { Clock } from '../../../types/clock.js'
import type { CutOffAnswer } from './cutOffAnswer.js'
import type { CutOffReason } from './cutOffReason.js'
import type { CutOffRequest } from './cutOffRequest.js'
import type { GatedConnection } from './gatedConnection.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { InputError } from './inputError.js'
import type { Socket } from 'node:net'
import type { UnreadReason } from '../../listeners/unreadReason.js'

interface ClientConnectionOptions {
  readonly socket: Socket
  readonly clock: Clock
  readonly arrivals: ArrivalTimes
  /** Called for each request that the host leaves without a response. */
  readonly onCutOff: (request: CutOffRequest) => void
  /** Called when the host ends a connection that still has bytes of an answer. */
  readonly onAnswerCutOff: (answer: CutOffAnswer) => void
}

interface ClosingOptions {
  readonly isHostStopping: boolean
  /** Whether the client may read the response for a while. */
  readonly isLong: boolean
}

/**
 * The state of one client's connection. Its requests are served one after the other, so that none is passed on behind a
 * response that closes the connection.
 */
export class ClientConnection implements GatedConnection {
  /** Requests without a whole response, in the order of their arrival. */
  private readonly exchanges: ClientExchange[] = []
  private closeReason: CutOffReason | undefined
  private hasClientLeft = false
  private acceptsRequests = true
  private isExpiring = false
  private isClosing = false
  /** Bytes that had been written when the last request arrived at the connection while it was idle. */
  private bytesBeforeAnswers = 0
  /** Whether one of the answers since then took time. */
  private hasLongAnswer = false
  private answersEndedAtMs = -Infinity
  private lastRequestId: string | undefined
  /** Bytes of the connection up to the end of its last request, and what came with this end. */
  private requestBytes = 0
  private hasInputError = false
  /** Decides while the heap may be nearly full whether the rest of a head is parsed. */
  private admitInput: (() => boolean) | undefined
  private readonly input: PieceInput
  /** Earliest times at which the connection was opened and the input being parsed arrived. */
  private readonly openedAtMs: number
  private inputAtMs: number
  private readonly acceptTurn: number
  /** Error that is answered after all requests. */
  private pendingError: InputError | undefined

  constructor (private readonly options: ClientConnectionOptions) {
    const { socket, arrivals } = options
    this.openedAtMs = arrivals.observeConnection()
    this.inputAtMs = this.openedAtMs
    this.acceptTurn = arrivals.currentTurn
    socket.once('end', () => { this.onInputEnd() })
    socket.on('error', () => { this.hasClientLeft = true })
    socket.once('close', () => { this.onClosed() })
    this.input = new PieceInput({ socket, decidePiece: () => this.decidePiece() })
    // Node.js destroys the socket behind a response that closes the connection, and so resets a client that still
    // sends.
    socket.destroySoon = () => { this.close() }
  }

  get requestCount (): number {
    return this.exchanges.length
  }

  /** Adds a request that the parser has read; undefined when it gets no response, because the connection is closed. */
  add (message: IncomingMessage, response: ServerResponse): ClientExchange | undefined {
    if (!this.acceptsRequests) return undefined
    if (this.exchanges.length === 0) {
      this.bytesBeforeAnswers = this.options.socket.bytesWritten
      this.hasLongAnswer = false
    }
    const exchange = new ClientExchange(message, response, this.inputAtMs, this.options.clock.readMonotonicMs())
    this.exchanges.push(exchange)
    const updateBytes = (): void => { this.requestBytes = this.options.socket.bytesRead }
    updateBytes()
    message.once('end', updateBytes)
    response.once('close', () => { this.onResponseClosed(exchange) })
    if (this.exchanges.length === 1) exchange.startTurn()
    if (this.exchanges.length >= ingressConstants.maxPipelinedRequests) this.refuseRequests()
    return exchange
  }

  /**
   * Decides whether the response whose head is about to be sent closes the connection. A stopping host closes it with a
   * response behind which no request waits, and reads nothing more from then on. A long response takes time, in which
   * the client may send further requests; it closes the connection only when these are not accepted any more, or when
   * the connection's limits are no longer in force.
   */
  decideClosing (exchange: ClientExchange, { isHostStopping, isLong }: ClosingOptions): boolean {
    const isLast = this.exchanges.at(-1) === exchange
    if (isLong) this.hasLongAnswer = true
    if (this.isClosingPossible(exchange, isHostStopping && !isLong)) this.refuseRequests()
    return isLast && !this.acceptsRequests && this.pendingError === undefined
  }

  /** Whether a response closes the connection if no request arrives behind it. */
  isClosingPossible (exchange: ClientExchange, isHostStopping: boolean): boolean {
    return this.acceptsRequests && this.exchanges.at(-1) === exchange && (isHostStopping || this.isExpiring)
  }

  /**
   * Ends reading. The requests that were read whole are answered first; the error answers the request that it has cut,
   * or stands after the last response.
   */
  handleInputError (error: InputError): void {
    const last = this.exchanges.at(-1)
    const isInRequest = last !== undefined && !last.message.complete
    if (this.hasInputError || (!this.acceptsRequests && !isInRequest)) return
    this.hasInputError = true
    this.acceptsRequests = false
    this.stopReading()
    if (isInRequest) return last.endInput(error)
    this.pendingError = error
    if (last === undefined) this.sendError(error)
  }

  /**
   * Closes the connection if it has served requests, none is in progress and none is being received. After a long
   * answer the client gets time to read it and to send the next request.
   */
  closeIfIdle (): void {
    const { socket, clock } = this.options
    const isIdle = this.exchanges.length === 0 && this.requestBytes > 0 && socket.bytesRead === this.requestBytes &&
      !this.input.hasRest
    const elapsedMs = clock.readMonotonicMs() - this.answersEndedAtMs
    if (isIdle && (!this.hasLongAnswer || elapsedMs > ingressConstants.longAnswerIdleMs)) this.close()
  }

  setInputGate (admit: () => boolean): void {
    this.admitInput ??= admit
  }

  closeUnfinishedHead (): boolean {
    if (this.hasInputError || this.exchanges.length > 0 || !this.hasLongHead()) return false
    this.handleInputError({ code: 'HEAP_FULL', status: 503 })
    return true
  }

  /**
   * Closes the connection behind what has been written. Bytes of the client that are unread at the end of a socket, or
   * arrive later, reset the connection, and what the client has not read is lost: so it is read on until the client
   * closes it, for a limited time.
   */
  close (): void {
    if (this.isClosing || this.options.socket.destroyed) return
    this.isClosing = true
    this.acceptsRequests = false
    const { socket } = this.options
    this.stopReading()
    socket.end()
    const { lingerMs, longAnswerLingerMs, longAnswerBytes } = ingressConstants
    const timeoutMs = this.answerBytes > longAnswerBytes ? longAnswerLingerMs : lingerMs
    const timer = setTimeout(() => { this.closeNow('linger-timeout') }, timeoutMs)
    socket.once('close', () => { clearTimeout(timer) })
  }

  /** Closes the connection without regard to its client; `reason` is logged if that cuts an answer. */
  closeNow (reason: CutOffAnswer['reason']): void {
    this.recordCutAnswer(reason)
    this.options.socket.destroy()
  }

  /**
   * Resets the connection, whose client does not read its answer. The kernel drops what it holds of the answer, and an
   * answer without framing does not look complete.
   */
  closeUnread (reason: UnreadReason): void {
    this.setCloseReason('answer-unread')
    this.recordCutAnswer(reason)
    this.options.socket.resetAndDestroy()
  }

  /** From now on, the next response closes the connection: it was opened under limits that are no longer in force. */
  setExpiring (): void {
    this.isExpiring = true
  }

  /** Notes why the host is about to close the connection; the first reason stays. */
  setCloseReason (reason: CutOffReason): void {
    this.closeReason ??= reason
  }

  /** Accepts no further requests, because the connection is going to be closed. */
  refuseRequests (): void {
    if (!this.acceptsRequests) return
    this.acceptsRequests = false
    const last = this.exchanges.at(-1)
    if (last === undefined || last.message.complete) this.stopReading()
    else last.message.once('end', () => { this.stopReading() })
  }

  private decidePiece (): 'now' | 'never' {
    this.updateInputTime()
    const last = this.exchanges.at(-1)
    if (this.hasInputError || (!this.acceptsRequests && last?.message.complete !== false)) return 'never'
    if (this.admitInput === undefined || !this.acceptsRequests || !this.hasLongHead() || this.admitInput()) return 'now'
    this.handleInputError({ code: 'HEAP_FULL', status: 503 })
    return 'never'
  }

  private updateInputTime (): void {
    const { arrivals } = this.options
    const inputAtMs = arrivals.observeInput()
    const hasWaited = arrivals.currentTurn - this.acceptTurn <= 1
    this.inputAtMs = hasWaited ? this.openedAtMs : inputAtMs
  }

  /** Whether more than a short head has come in since the last request; the trailer of a chunked body counts as one. */
  private hasLongHead (): boolean {
    const last = this.exchanges.at(-1)
    const isInBody = last !== undefined && !last.message.complete && last.size.bodyBytes !== undefined
    return !isInBody && this.options.socket.bytesRead - this.requestBytes > memoryConstants.maxUnfinishedHeadBytes
  }

  /** Keeps reading, so that the client's close is seen, but the parser gets nothing more. */
  private stopReading (): void {
    const { socket } = this.options
    this.input.stop()
    // The parser may be in the middle of a piece.
    process.nextTick(() => {
      socket.removeAllListeners('data')
      socket.on('data', () => {})
      // Node.js pauses a socket whose client does not read.
      socket.resume()
    })
  }

  private recordCutAnswer (reason: CutOffAnswer['reason']): void {
    const { socket, onAnswerCutOff } = this.options
    const { answerBytes } = this
    const requestId = this.exchanges[0]?.requestId ?? this.lastRequestId
    const unsentBytes = socket.writableLength
    if (unsentBytes > 0) onAnswerCutOff({ requestId, reason, unsentBytes, answerBytes })
  }

  /** Bytes of the answers since the connection was idle before. */
  private get answerBytes (): number {
    return this.options.socket.bytesWritten - this.bytesBeforeAnswers
  }

  private sendError ({ status }: InputError): void {
    const { socket } = this.options
    this.setCloseReason('client-error')
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    this.close()
  }

  /** The client has closed its direction; it may still read. */
  private onInputEnd (): void {
    const { socket } = this.options
    if (this.exchanges.length === 0 || !socket.writable) return
    const onLeft = (): void => {
      this.hasClientLeft = true
      socket.destroy()
    }
    new PresenceCheck(socket, () => this.exchanges[0]?.response, onLeft).start()
  }

  private onResponseClosed (exchange: ClientExchange): void {
    const { socket } = this.options
    if (!exchange.response.writableFinished) return
    this.exchanges.splice(this.exchanges.indexOf(exchange), 1)
    this.lastRequestId = exchange.requestId
    this.answersEndedAtMs = this.options.clock.readMonotonicMs()
    if (socket.writable) {
      if (this.exchanges.length > 0) this.exchanges[0]!.startTurn()
      else if (this.pendingError !== undefined) this.sendError(this.pendingError)
      else if (!this.acceptsRequests) this.close()
      return
    }
    if (!this.hasClientLeft) this.setCloseReason('response-closed')
    for (const waiting of this.exchanges) waiting.cancel()
  }

  private onClosed (): void {
    const { clock, onCutOff } = this.options
    for (const exchange of this.exchanges.splice(0)) {
      exchange.cancel()
      const { requestId, response, isPassedOn, arrivedAtMs } = exchange
      if (this.hasClientLeft || response.headersSent) continue
      onCutOff({
        requestId,
        reason: this.closeReason ?? 'unknown',
        wasPassedOn: isPassedOn(),
        elapsedMs: Math.round(clock.readMonotonicMs() - arrivedAtMs)
      })
    }
  }
}
