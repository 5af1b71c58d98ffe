import type { StoreChange } from './storeChange.js'
import type { StoreItem } from './storeItem.js'
import type { StoreWrite } from './storeWrite.js'

/**
 * Client of the platform's store. Calls reject with `StoreUnavailableError` when they changed nothing, with
 * `StoreUncertainError` when a write may have taken effect, and with `StoreHistoryLostError` when the store no longer
 * holds the changes that a watch asks for and the prefix has to be read again.
 */
export interface StoreClient {
  /** Resolves to the item, undefined if there is none, and the store's revision. */
  readItem (key: string): Promise<{ readonly item?: StoreItem, readonly revision: number }>
  /** Resolves to all items below a prefix and the revision from which to watch for changes. */
  readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly revision: number }>
  /** Resolves to the changes after `afterRevision`, in order; waits up to `waitMs` for the first one. */
  watchPrefix (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal
  ): Promise<{ readonly changes: readonly StoreChange[], readonly revision: number }>
  /** Resolves to whether the conditions held and the changes were made. */
  writeConditionally (write: StoreWrite): Promise<boolean>
  /** Resolves to the id of a new lease. */
  createLease (ttlMs: number): Promise<number>
  /** Renews a lease; resolves to false when it has ended. */
  updateLease (leaseId: number): Promise<boolean>
  closeLease (leaseId: number): Promise<void>
}
