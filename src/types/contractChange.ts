import type { Contract } from './contract.js'

/** A change of a contract that an operator requests. */
export interface ContractChange {
  readonly account: string
  /** Null deletes the contract. */
  readonly contract: Contract | null
  /** Revision that the operator has seen; 0 for a new contract. */
  readonly expectedRevision: number
  readonly operator: string
}
