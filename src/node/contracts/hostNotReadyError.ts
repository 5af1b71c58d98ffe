import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** This host has not loaded its contracts yet, or a peer did not deliver the contracts that it announced. */
export class HostNotReadyError extends LycheetrackError {
  readonly code = 'host_not_ready'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
