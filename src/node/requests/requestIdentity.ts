/** What tells one request from another. */
export interface RequestIdentity {
  readonly account: string
  readonly requestId: string
  /** SHA-256 of kind and input, in hex; empty when a caller joins by id alone. */
  readonly bodyHash: string
}
