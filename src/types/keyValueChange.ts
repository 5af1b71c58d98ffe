/** A change that a watch reports. */
export interface KeyValueChange {
  readonly key: string
  /** Null when the key was deleted. */
  readonly value: string | null
  readonly version: number
  /** Number of writes to the whole service so far. */
  readonly revision: number
}
