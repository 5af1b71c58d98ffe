/** Times of the watch of the store. */
export interface WatchTimes {
  /** Long-poll wait. A watch that gets no response is detected only after it. */
  readonly waitMs: number
  /** Pause after a watch that returned changes, so that a series of changes costs one call. Delays the notice of each change by at most this much. */
  readonly coalesceMs: number
  /** Largest pause between two attempts while the store fails. */
  readonly maxRetryMs: number
}
