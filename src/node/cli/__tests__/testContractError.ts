import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** Fault list in the form of the contract check. */
export class TestContractError extends LycheetrackError {
  readonly code = 'contract_invalid'
  readonly faults = [{ path: 'account', message: 'is missing' }]
}
