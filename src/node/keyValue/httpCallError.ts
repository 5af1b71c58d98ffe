import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** An HTTP call to the platform got no usable answer. */
export class HttpCallError extends LycheetrackError {
  readonly code = 'platform_call_failed'
  override readonly httpStatus = 503

  /** `isSent` is false only when certainly no byte of the request left this host. */
  constructor (message: string, readonly mayHaveBeenSent: boolean, readonly isTimeout: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}
