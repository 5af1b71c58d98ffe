/** Load as an upstream reports it, with a lag. */
export interface LoadReport {
  readonly upstreamId: string
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number
  /** Models that a model engine has loaded; absent when the upstream does not name them. */
  readonly models?: readonly string[]
  /** Time at which the upstream took the measurement, milliseconds since the epoch. */
  readonly atMs: number
}
