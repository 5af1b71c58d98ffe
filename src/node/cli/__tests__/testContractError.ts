import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** Error with a list of faults, as the contract validation throws it. */
export class TestContractError extends LycheetrackError {
  readonly code = 'contract_invalid'
  readonly faults = [{ path: 'account', message: 'is missing' }]
}
