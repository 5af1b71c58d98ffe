import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** This host has not confirmed its contracts for 10 s and therefore accepts no contract changes. */
export class HostUnconfirmedError extends LycheetrackError {
  readonly code = 'host_unconfirmed'
  override readonly httpStatus = 503
  override readonly ran = 'not_run'
}
