/** A key and its value in the store. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
  /** Revision of the item's last change. */
  readonly revision: number
}
