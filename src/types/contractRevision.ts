import type { Contract } from './contract.js'

/** A stored revision of a contract. The key-value service holds one entry per account. */
export interface ContractRevision {
  readonly account: string
  /** Incremented by each accepted change, including deletions. */
  readonly revision: number
  /** Null when this revision deletes the contract. */
  readonly contract: Contract | null
  readonly operator: string
  /** Time of the change in milliseconds since the epoch, by the clock of the host that accepted it. */
  readonly atMs: number
  /** Unique per write attempt; tells the writer whether a write with a lost answer took effect. */
  readonly token: string
}
