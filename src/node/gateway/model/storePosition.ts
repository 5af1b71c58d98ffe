/** A point in the history of the store. Revisions of different eras cannot be compared. */
export interface StorePosition {
  /** 0 when the store names no era. */
  readonly era: number
  readonly revision: number
}
