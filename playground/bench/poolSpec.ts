/** A pool of simulated upstreams. */
export interface PoolSpec {
  readonly name: string
  readonly count: number
  readonly slots: number
  readonly reportsLoad: boolean
  /** Whether the queue is in order of priority; model engines honour priorities, plain services do not. */
  readonly honoursPriority: boolean
  /** Extra latency of a full batch relative to a single stream. */
  readonly batchSlope: number
}
