import { LycheetrackError } from './lycheetrackError.js'

/** The platform's host list could not be read. */
export class HostListUnavailableError extends LycheetrackError {
  readonly code = 'host_list_unavailable'
  override readonly httpStatus = 503
}
