/** A change seen by a watch. */
export interface KeyValueChange {
  readonly key: string
  /** Null when the key was deleted. */
  readonly value: string | null
  readonly version: number
  /** Counts the writes of the whole service. */
  readonly revision: number
}
