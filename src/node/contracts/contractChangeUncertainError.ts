import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** It could not be settled in time whether a contract change was accepted; the operator reads the contract to find out. */
export class ContractChangeUncertainError extends LycheetrackError {
  readonly code = 'contract_change_uncertain'
  override readonly httpStatus = 503
}
