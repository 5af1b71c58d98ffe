import type { SnapshotCause } from './snapshotCause.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreItem } from '../model/storeItem.js'

/** The receiver of all items and changes below a prefix. */
export interface StoreSection {
  readonly prefix: string
  /** Receives all items below the prefix. */
  onSnapshot (items: readonly StoreItem[], cause: SnapshotCause): void
  onChange (change: StoreChange): void
}
