/** Load of an upstream at one moment, as `GET /load` reports it. */
export interface LoadSnapshot {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number
  /** Milliseconds since the epoch. */
  readonly atMs: number
}
