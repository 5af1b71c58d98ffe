import type { Contract } from './contract.js'

/** A contract as stored: one entry of the key-value service per account. */
export interface ContractRevision {
  readonly account: string
  /** Rises by one with each accepted change, deletions included. */
  readonly revision: number
  /** Null when this revision deletes the contract. */
  readonly contract: Contract | null
  readonly operator: string
  /** Milliseconds since the epoch at the host that accepted the change. */
  readonly atMs: number
  /** Unique per write attempt; tells the writer whether a write with a lost answer took effect. */
  readonly token: string
}
