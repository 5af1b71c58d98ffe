import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** An HTTP call to a platform service failed without a usable response. */
export class HttpCallError extends LycheetrackError {
  readonly code = 'platform_call_failed'
  override readonly httpStatus = 503

  /** `mayHaveBeenSent` is false only if it is certain that no byte of the request left this host. */
  constructor (message: string, readonly mayHaveBeenSent: boolean, readonly isTimeout: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}
