/** A pool of upstream models. */
export interface PoolSpec {
  readonly name: string
  readonly count: number
  readonly slots: number
  readonly reports: boolean
  /** Extra latency of a full batch relative to a single stream. */
  readonly batchSlope: number
}
