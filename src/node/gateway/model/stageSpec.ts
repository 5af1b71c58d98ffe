/** Capacity of one upstream of a stage service. */
export interface StageSpec {
  /** Largest number of concurrent calls. */
  readonly concurrentCalls: number
  /** Largest number of pieces in one call. */
  readonly batchSize: number
  /** Fixed part of a call's duration. */
  readonly callMs: number
  /** Approximate time that each piece adds to its call's duration. */
  readonly pieceMs: number
  /** Memory for results that have not been released. */
  readonly resultRoomBytes: number
  /** Time after which an unreleased result is dropped. */
  readonly resultLifetimeMs: number
}
