import type { StoreChange } from './storeChange.js'
import type { StoreItem } from './storeItem.js'
import type { StoreWrite } from './storeWrite.js'

/**
 * The platform's store. Calls reject with `StoreUnavailableError` when nothing was done or only read, with
 * `StoreUncertainError` when a write may have taken effect, and with `StoreHistoryLostError` when a watch must
 * begin again with a read.
 */
export interface StoreClient {
  /** Resolves to the item, or undefined, and the store's revision. */
  readItem (key: string): Promise<{ readonly item?: StoreItem, readonly revision: number }>
  /** All items below a prefix, and the revision from which a watch may go on. */
  readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly revision: number }>
  /** Changes after `afterRevision`, in order; waits up to `waitMs` for the first one. */
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
  /** Resolves to false when the lease has ended. */
  updateLease (leaseId: number): Promise<boolean>
  closeLease (leaseId: number): Promise<void>
}
