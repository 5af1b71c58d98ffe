/** A conditional write: all conditions hold and all changes are made, or nothing happens. */
export interface StoreWrite {
  /** Expected revisions by key; 0 means that the key must not exist. */
  readonly conditions: readonly { readonly key: string, readonly revision: number }[]
  readonly writes: readonly { readonly key: string, readonly value: Buffer, readonly leaseId: number }[]
  readonly removals: readonly string[]
}
