/** An entry of the key-value service. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  /** Counts the writes of this key; never goes back. */
  readonly version: number
}
