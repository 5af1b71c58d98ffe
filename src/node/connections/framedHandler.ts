import { DecoratorHandler } from 'undici'
import { OversizedAnswerError } from '../gateway/upstreams/oversizedAnswerError.js'
import { upstreamConstants } from '../gateway/upstreams/constants.js'
import type { Dispatcher } from 'undici'

type Controller = Dispatcher.DispatchController
type Headers = Record<string, string | string[] | undefined>

interface ForwardingHandler {
  onResponseStart (controller: Controller, status: number, headers: Headers, message?: string): void
  onResponseData (controller: Controller, chunk: Buffer): void
}

// The types of undici declare the constructor only.
const BaseHandler = DecoratorHandler as unknown as new (handler: Dispatcher.DispatchHandler) => ForwardingHandler

/** Passes on the final response to a request, and ends one with interim responses without end. */
export class FramedHandler extends BaseHandler {
  private interimResponses = 0

  /** `onProgress` is called with the head of the final response and with each part of its body. */
  constructor (handler: Dispatcher.DispatchHandler, private readonly onProgress: () => void) {
    super(handler)
  }

  override onResponseStart (controller: Controller, status: number, headers: Headers, message?: string): void {
    if (status >= 100 && status < 200) return this.countInterimResponse(controller)
    this.onProgress()
    super.onResponseStart(controller, status, headers, message)
  }

  override onResponseData (controller: Controller, chunk: Buffer): void {
    this.onProgress()
    super.onResponseData(controller, chunk)
  }

  private countInterimResponse (controller: Controller): void {
    this.interimResponses++
    const { maxInterimResponses } = upstreamConstants
    if (this.interimResponses <= maxInterimResponses) return
    controller.abort(new OversizedAnswerError(`more than ${maxInterimResponses} interim responses`))
  }
}
