import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { ContractFault } from '../../types/contractFault.js'

/** A contract is invalid; `faults` lists every violation. */
export class InvalidContractError extends LycheetrackError {
  readonly code = 'contract_invalid'
  override readonly httpStatus = 422
  override readonly ran = 'not_run'

  constructor (readonly faults: readonly ContractFault[]) {
    super(faults.map(fault => `${fault.path}: ${fault.message}`).join('; '))
  }
}
