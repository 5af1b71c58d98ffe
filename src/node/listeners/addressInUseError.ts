import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** Another process listens at an address of this host. */
export class AddressInUseError extends LycheetrackError {
  readonly code = 'address_in_use'
  override readonly ran = 'not_run'
}
