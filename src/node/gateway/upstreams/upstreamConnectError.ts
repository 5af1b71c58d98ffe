import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** No connection to an upstream could be opened; nothing was sent. */
export class UpstreamConnectError extends LycheetrackError {
  readonly code = 'upstream_connect_failed'
  override readonly ran = 'not_run'
}
