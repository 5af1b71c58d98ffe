import type { StoreChange } from './storeChange.js'
import type { StoreItem } from './storeItem.js'
import type { StoreLease } from './storeLease.js'
import type { StorePosition } from './storePosition.js'
import type { StoreWrite } from './storeWrite.js'

/**
 * Client of the platform's store. Calls reject with `StoreUnavailableError` when they changed nothing, with
 * `StoreUncertainError` when a write may have taken effect, and with `StoreHistoryLostError` when the store no longer
 * holds the changes that a watch asks for and the prefix has to be read again. An answer of an era that has ended counts
 * as none, because what it tells may be undone.
 */
export interface StoreClient {
  /** Resolves to the item, undefined if there is none. */
  readItem (key: string): Promise<StoreItem | undefined>
  /** Resolves to all items below a prefix and the position from which to watch for changes. */
  readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly position: StorePosition }>
  /** Resolves to the changes after a position, in order; waits up to `waitMs` for the first one. */
  watchPrefix (
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal: AbortSignal
  ): Promise<{ readonly changes: readonly StoreChange[], readonly position: StorePosition }>
  /** Resolves to whether the conditions held, the leases had not ended and the changes were made. */
  writeConditionally (write: StoreWrite): Promise<boolean>
  createLease (ttlMs: number): Promise<StoreLease>
  /** Renews a lease; resolves to false when it has ended. A lease of an earlier era has ended. */
  updateLease (lease: StoreLease): Promise<boolean>
  closeLease (lease: StoreLease): Promise<void>
}
