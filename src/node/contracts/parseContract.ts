import type { Contract } from '../../types/contract.js'
import { contractSchema } from './contractSchema.js'
import { InvalidContractError } from './invalidContractError.js'
import { validateContract } from './validateContract.js'

/** Parses a contract; throws `InvalidContractError` with every fault if it is invalid. */
export function parseContract (value: unknown): Contract {
  const faults = validateContract(value)
  if (faults.length > 0) throw new InvalidContractError(faults)
  return contractSchema.parse(value)
}
