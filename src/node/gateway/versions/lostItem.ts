/** An item that a restore of the store has lost, wholly or in part. */
export interface LostItem {
  readonly key: string
  /** Revision of what the restored store holds under the key; 0 for nothing. */
  readonly revision: number
  /** What the item is to hold. */
  readonly value: Buffer
  /** Number of streams that it records; 0 for a base version. */
  readonly streams: number
}
