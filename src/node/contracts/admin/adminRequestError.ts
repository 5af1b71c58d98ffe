import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** An administration request names an unknown resource or contract, an unsupported method or an invalid precondition. */
export class AdminRequestError extends LycheetrackError {
  override readonly ran = 'not_run'

  constructor (readonly code: 'not_found' | 'method_not_allowed' | 'contract_not_found' | 'precondition_required' | 'precondition_invalid', override readonly httpStatus: number, message: string) {
    super(message)
  }
}
