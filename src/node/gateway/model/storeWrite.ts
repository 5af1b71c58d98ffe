import type { StoreLease } from './storeLease.js'

/** A conditional write: makes all changes if all conditions hold, otherwise none. */
export interface StoreWrite {
  /** Expected revisions by key; 0 means that the key must not exist. */
  readonly conditions: readonly { readonly key: string, readonly revision: number }[]
  readonly writes: readonly { readonly key: string, readonly value: Buffer, readonly lease?: StoreLease }[]
  readonly removals: readonly string[]
}
