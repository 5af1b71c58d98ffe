import type { ContractRevision } from './contractRevision.js'

/** The contracts in force on this host. */
export interface ContractView {
  find (account: string): ContractRevision | undefined
  /** Finds the contract that a bearer token belongs to, by the token's SHA-256 digest in hex. */
  findByTokenDigest (digest: string): ContractRevision | undefined
  list (): readonly ContractRevision[]
  /** Calls `listener` after each applied revision; the returned function removes it. */
  onApplied (listener: (revision: ContractRevision) => void): () => void
}
