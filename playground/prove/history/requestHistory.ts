import type { ExecutionState } from '../../../src/types/executionState.js'

/** What a caller saw of one request over all its attempts. Times are milliseconds since the epoch. */
export interface RequestHistory {
  readonly account: string
  readonly requestId: string
  readonly kind: string
  /** Ids under which the caller sent the same call before. */
  readonly earlierRequestIds?: readonly string[]
  /** The kind's contract line says that calls run at most once. */
  readonly atMostOnce: boolean
  readonly startMs: number
  readonly endMs: number
  /** `answered`: a whole answer. `refused`: a typed error. `lost`: no final answer. */
  readonly outcome: 'answered' | 'refused' | 'lost'
  /** What the final error said about execution; for `refused` only. */
  readonly ran?: ExecutionState
  readonly code?: string
  /** Fault of the answer's content, found by the caller: a missing, repeated or foreign token or marker. */
  readonly contentFault?: string
}
