import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The outcome of a contract change is unknown; the operator has to read the contract to find out whether it was accepted. */
export class ContractChangeUncertainError extends LycheetrackError {
  readonly code = 'contract_change_uncertain'
  override readonly httpStatus = 503
}
