/** An entry of the key-value service. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  /** Number of writes to this key; never decreases. */
  readonly version: number
}
