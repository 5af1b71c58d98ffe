/** Load of an upstream as the upstream reports it, with a delay. */
export interface LoadReport {
  readonly upstreamId: string
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Fraction of the KV cache in use, 0 to 1. */
  readonly kvUsed: number
  /** Models that a model engine has loaded; absent if the upstream does not report them. */
  readonly models?: readonly string[]
  /** Time at which the upstream took the measurement, milliseconds since the epoch. */
  readonly atMs: number
}
