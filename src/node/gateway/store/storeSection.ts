import type { StoreChange } from '../model/storeChange.js'
import type { StoreItem } from '../model/storeItem.js'

/** The receiver of all items and changes below a prefix. */
export interface StoreSection {
  readonly prefix: string
  /** Receives all items below the prefix; `isAfterGap` is true when changes may have been missed before. */
  onSnapshot (items: readonly StoreItem[], isAfterGap: boolean): void
  onChange (change: StoreChange): void
}
