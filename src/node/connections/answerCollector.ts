import { ByteList } from '../../shared/byteList.js'
import { isAnswerStatus } from '../../shared/isAnswerStatus.js'
import { OversizedAnswerError } from '../gateway/upstreams/oversizedAnswerError.js'
import { UpstreamResponseMismatchError } from '../gateway/upstreams/upstreamResponseMismatchError.js'
import type { Dispatcher } from 'undici'
import type { ServiceAnswer } from './serviceAnswer.js'
import type { ServiceCall } from './serviceCall.js'

interface CollectorCallbacks {
  readonly onAnswer: (answer: ServiceAnswer) => void
  readonly onFailure: (error: unknown) => void
}

/** Collects the answer to a call of a platform service. Ends one that is larger than the call allows. */
export class AnswerCollector implements Dispatcher.DispatchHandler {
  private readonly body = new ByteList()
  private status = 0
  private headers: ServiceAnswer['headers'] = {}
  private controller: Dispatcher.DispatchController | undefined
  private hasEnded = false
  private readonly cancel = (): void => {
    this.controller?.abort(this.call.signal.reason)
    this.end(() => { this.callbacks.onFailure(this.call.signal.reason) })
  }

  constructor (private readonly call: ServiceCall, private readonly callbacks: CollectorCallbacks) {
    call.signal.addEventListener('abort', this.cancel)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.call.signal.aborted) controller.abort(this.call.signal.reason)
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>
  ): void {
    if (!isAnswerStatus(status)) {
      controller.abort(new UpstreamResponseMismatchError(`answer with status ${status}, outside 100 to 599`))
      return
    }
    this.status = status
    this.headers = headers
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) return
    const { maxAnswerBytes, allowance } = this.call
    if (this.body.byteLength + chunk.length > maxAnswerBytes) {
      controller.abort(new OversizedAnswerError(`more than ${maxAnswerBytes} bytes`))
    } else if (!allowance.admit(chunk.length)) {
      controller.abort(new OversizedAnswerError('the memory for answers of the service is used up'))
    } else this.body.add(chunk)
  }

  onResponseEnd (): void {
    this.end(() => {
      const { status, headers, body } = this
      this.callbacks.onAnswer({ status, headers, text: body.buildBuffer().toString('utf8') })
    })
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    this.end(() => { this.callbacks.onFailure(error) })
  }

  private end (report: () => void): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.call.signal.removeEventListener('abort', this.cancel)
    this.call.allowance.release(this.body.byteLength)
    report()
  }
}
