import { UpstreamResponseMismatchError } from './upstreamResponseMismatchError.js'
import { UpstreamConnectError } from './upstreamConnectError.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Dispatcher } from 'undici'
import type { ExchangeFailure } from './exchangeFailure.js'
import type { ExchangeHandler } from './exchangeHandler.js'

/** One request and its response on a connection; translates undici's callbacks to those of `ExchangeHandler`. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private hasEnded = false
  private isAborted = false

  constructor (
    private readonly requestId: string | undefined,
    private readonly decodeResponse: ResponseDecoder,
    private readonly handler: ExchangeHandler,
    /** Whether the connection was reset. */
    private readonly wasReset: () => boolean
  ) {}

  cancel (): void {
    if (this.hasEnded) return
    this.isAborted = true
    this.controller?.abort(new UpstreamConnectError('cancelled by the caller'))
    this.endFailed('aborted', 'cancelled by the caller')
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isAborted) controller.abort(new UpstreamConnectError('cancelled by the caller'))
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string,
    string | string[] | undefined>
  ): void {
    if (this.hasEnded || status < 200) return
    const head = this.decodeResponse(status, headers)
    // A surplus response to an earlier request may arrive where this request's response is expected.
    if (this.requestId !== undefined && head.requestId !== undefined && head.requestId !== this.requestId) {
      this.endFailed('foreign-answer', `answer to ${head.requestId}`)
      controller.abort(new UpstreamResponseMismatchError(`response to request ${head.requestId} instead of ${this.requestId}`))
      return
    }
    this.handler.onHead(head)
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.hasEnded) this.handler.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.hasEnded) return
    if (this.wasReset()) return this.endFailed('broken', 'reset before the end of the answer')
    this.hasEnded = true
    this.handler.onEnd()
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    this.endFailed(this.controller === undefined ? 'connect' : 'broken', error.message)
  }

  private endFailed (kind: ExchangeFailure['kind'], detail: string): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.handler.onFailure({ kind, detail, wasSent: this.controller !== undefined })
  }
}
