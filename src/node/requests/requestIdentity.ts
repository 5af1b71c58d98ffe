/** Identifies a request. */
export interface RequestIdentity {
  readonly account: string
  readonly requestId: string
  /** SHA-256 of kind and input in hex; empty when a caller joins by request id alone. */
  readonly bodyHash: string
}
