/** Capacity of one upstream of a stage service. */
export interface StageSpec {
  /** Calls that run at the same time. */
  readonly concurrentCalls: number
  /** Most pieces in one call. */
  readonly batchSize: number
  /** Fixed time of a call. */
  readonly callMs: number
  /** Approximate time that each piece adds to its call. */
  readonly pieceMs: number
  /** Memory for results that have not been released. */
  readonly resultRoomBytes: number
  /** Time after which an unreleased result is dropped. */
  readonly resultLifetimeMs: number
}
