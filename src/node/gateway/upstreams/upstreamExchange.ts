import { errors } from 'undici'
import { describeAnswerError } from '../../../shared/describeAnswerError.js'
import { isAnswerStatus } from '../../../shared/isAnswerStatus.js'
import { isProtocolError } from './isProtocolError.js'
import { UpstreamResponseMismatchError } from './upstreamResponseMismatchError.js'
import { UpstreamConnectError } from './upstreamConnectError.js'
import { upstreamConstants } from './constants.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Dispatcher } from 'undici'
import type { ExchangeFailure } from './exchangeFailure.js'
import type { ExchangeHandler } from './exchangeHandler.js'

interface UpstreamExchangeOptions {
  readonly requestId: string | undefined
  readonly isSendable?: () => boolean
  readonly decodeResponse: ResponseDecoder
  readonly handler: ExchangeHandler
  /** Whether the connection was reset. */
  readonly wasReset: () => boolean
  /** Whether the upstream closed the connection in order. */
  readonly wasClosed: () => boolean
  /** Called with the head of the response and with each part of its body. */
  readonly onProgress: () => void
}

/** One request and its response on a connection; translates undici's callbacks to those of `ExchangeHandler`. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private hasEnded = false
  private isAborted = false
  private protocolError: string | undefined
  private interimResponses = 0
  private isNotModified = false

  constructor (private readonly options: UpstreamExchangeOptions) {}

  /** `protocolError`: by what the upstream has broken the protocol, when this is why the caller cancels. */
  cancel (protocolError?: string): void {
    if (this.hasEnded) return
    this.isAborted = true
    this.protocolError = protocolError
    this.controller?.abort(new UpstreamConnectError('cancelled by the caller'))
    this.endFailed('aborted', 'cancelled by the caller')
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (!this.isAborted && this.options.isSendable?.() === false) {
      this.endFailed('aborted', 'may not be sent any more')
      controller.abort(new UpstreamConnectError('may not be sent any more'))
      return
    }
    this.controller = controller
    if (this.isAborted) controller.abort(new UpstreamConnectError('cancelled by the caller'))
    else this.options.handler.onStarted?.(controller)
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string,
    string | string[] | undefined>
  ): void {
    if (this.hasEnded) return
    if (!isAnswerStatus(status)) return this.endInvalid(controller, `answer with status ${status}, outside 100 to 599`)
    if (status < 200) return this.countInterimResponse(controller)
    const { requestId, decodeResponse, handler, onProgress } = this.options
    onProgress()
    this.isNotModified = status === 304
    const head = decodeResponse(status, headers)
    // A surplus response to an earlier request may arrive where this request's response is expected. Upstreams echo the
    // id in every response of their own, so one without an id cannot be attributed to this request either.
    const isForeign = requestId !== undefined && head.requestId !== requestId &&
      (head.requestId !== undefined || head.isSigned || head.isNotRun)
    if (isForeign) {
      const responseTo = head.requestId === undefined ? 'an unnamed request' : `request ${head.requestId}`
      this.endFailed('foreign-answer', `answer to ${responseTo}`)
      controller.abort(new UpstreamResponseMismatchError(`response to ${responseTo} instead of ${requestId}`))
      return
    }
    handler.onHead(head)
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) return
    this.options.onProgress()
    this.options.handler.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.hasEnded) return
    if (this.options.wasReset()) return this.endFailed('broken', 'reset before the end of the answer')
    this.endComplete()
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    // Such an answer may state the length of the body that it leaves out, which undici waits for.
    if (this.isNotModified && error instanceof errors.ResponseContentLengthMismatchError) return this.endComplete()
    const kind = this.controller === undefined ? 'connect' : 'broken'
    this.endFailed(kind, describeAnswerError(error), isProtocolError(error, this.options.wasClosed()))
  }

  /** An upstream may send interim responses without end. */
  private countInterimResponse (controller: Dispatcher.DispatchController): void {
    this.interimResponses++
    if (this.interimResponses <= upstreamConstants.maxInterimResponses) return
    this.endInvalid(controller, `more than ${upstreamConstants.maxInterimResponses} interim responses`)
  }

  private endComplete (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.options.handler.onEnd()
  }

  private endInvalid (controller: Dispatcher.DispatchController, detail: string): void {
    this.endFailed('broken', detail, true)
    controller.abort(new UpstreamResponseMismatchError(detail))
  }

  private endFailed (kind: ExchangeFailure['kind'], detail: string, isProtocolError = false): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.options.handler.onFailure({
      kind,
      detail: this.protocolError ?? detail,
      wasSent: this.controller !== undefined,
      isProtocolError: isProtocolError || this.protocolError !== undefined
    })
  }
}
